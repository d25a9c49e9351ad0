//! A reload that fails at any of its steps leaves the whole old configuration in force.
use super::*;
use crate::config::clickhouse::ClassRules;
use crate::testkit::daemon::{Folder, MACHINE_TYPES, ZONES, config};
use crate::testkit::{coordinator::known, in_time};
use async_channel::Receiver;
use async_io::block_on;
use futures_lite::future::zip;

/// The limit of descriptors in the new configuration.
const NEW_DESCRIPTORS: usize = 48;
const OLD_DESCRIPTORS: usize = 32;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn deploy_file(default_class: &str) -> String {
    format!(
        "listen = \"127.0.0.1:1\"\nusual_class = \"{default_class}\"\n\
         [[user]]\nname = \"anna\"\nkey = \"secret\"\ntenant = \"billing-desk\"\n"
    )
}

/// A reload, with the mailboxes of the actors that it sends messages to.
struct Fixture {
    folder: Folder,
    reload: Reload,
    dispatcher: Receiver<DispatcherEvent>,
    coordinator: Receiver<WatchCommand>,
}

impl Fixture {
    fn new() -> Fixture {
        let folder = Folder::new().expect("a folder");
        let no_engines = known(&[], &ZONES, &MACHINE_TYPES);
        let text = config(address(1), address(2), &no_engines, NEW_DESCRIPTORS).to_string();
        let config_path = folder.put("config.json", &text).expect("a file");
        let path = folder
            .put("clickhouse.toml", &deploy_file("report"))
            .expect("a file");
        let in_force = process::read(&config_path).expect("a configuration");
        let file = clickhouse::parse(&deploy_file("lookup")).expect("a deploy file");
        let users = || Users::new(&file, &in_force.names).expect("users");
        let rules = ClassRules::new(&file, &in_force.names).expect("classes");
        let service = ClickHouseShared {
            class_rules: rules.into(),
            users: users().into(),
            class_deadlines: Vec::new().into(),
            load_classes: Vec::new().into(),
            supports_databases: Box::new(|| true),
            is_draining: Box::new(|| false),
            new_request_id: Box::new(String::new),
        };
        let (dispatcher, dispatcher_mailbox) = bounded(8);
        let (coordinator, coordinator_mailbox) = bounded(1);
        let reload = Reload {
            config_path,
            names: Rc::new(RefCell::new(Rc::new(in_force.names.clone()))),
            settings: RefCell::new(in_force.settings),
            json: RefCell::new(in_force.json),
            listen: in_force.listen,
            clickhouse: Some(ClickHouseFrontend {
                path,
                service: Rc::new(service),
                file_users: Rc::new(RefCell::new(users())),
                has_directory: false,
            }),
            shared: Shared::new(OLD_DESCRIPTORS, 64),
            coordinator,
            dispatcher,
        };
        Fixture {
            folder,
            reload,
            dispatcher: dispatcher_mailbox,
            coordinator: coordinator_mailbox,
        }
    }

    /// Reloads; the function `dispatcher` handles the new settings as the dispatcher's actor would.
    fn reload(&self, dispatcher: impl Fn(Reconfiguration)) -> Result<(), ReloadError> {
        let serve = async {
            if let Ok(DispatcherEvent::Reconfigure(new)) = self.dispatcher.recv().await {
                dispatcher(new);
            }
            self.dispatcher.close();
        };
        let reload = async {
            let result = self.reload.reload().await;
            self.dispatcher.close();
            result
        };
        let results = block_on(in_time(zip(reload, serve)));
        results.expect("no step waits forever").0
    }

    fn default_class(&self) -> ClassId {
        let frontend = self.reload.clickhouse.as_ref().expect("a frontend");
        frontend
            .service
            .class_rules
            .borrow()
            .class("anna", b"SELECT 1")
    }

    /// Whether the new configuration is in force. Asserts that none is applied in part.
    fn is_new(&self) -> bool {
        let names = self.reload.names.borrow().clone();
        let report = names.class("report").expect("a class");
        let parts = [
            self.reload.shared.limits.get().descriptors == NEW_DESCRIPTORS,
            self.default_class() == report,
            self.coordinator.len() == 1,
        ];
        assert!(
            parts.iter().all(|part| *part == parts[0]),
            "applied in part: {parts:?}"
        );
        parts[0]
    }
}

/// The dispatcher's reply if the id of each class is its index in the settings.
fn classes_of(new: &Reconfiguration) -> Vec<ReloadedClass> {
    let classes = new.class_names.iter().zip(&new.settings.classes);
    classes
        .map(|(name, spec)| {
            let class = Class {
                name: name.as_str().into(),
                spec: spec.clone(),
            };
            (class, true)
        })
        .collect()
}

fn apply(new: Reconfiguration) {
    let _ = new.applied.try_send(classes_of(&new));
}

#[test]
fn a_reload_applies_the_whole_configuration() {
    let fixture = Fixture::new();
    assert!(!fixture.is_new());

    let result = fixture.reload(apply);

    assert!(result.is_ok(), "{result:?}");
    assert!(fixture.is_new());
}

/// The rules contain the ids that the dispatcher assigns, not the indexes in the file.
#[test]
fn class_rules_use_the_ids_that_the_dispatcher_assigns() {
    let fixture = Fixture::new();

    let result = fixture.reload(|new| {
        let mut classes = classes_of(&new);
        let (removed, _) = classes[0].clone();
        classes.insert(0, (removed, false));
        let _ = new.applied.try_send(classes);
    });

    assert!(result.is_ok(), "{result:?}");
    assert!(fixture.is_new());
    assert_eq!(fixture.default_class(), ClassId(2));
}

#[test]
fn an_invalid_configuration_changes_nothing() {
    let fixture = Fixture::new();
    fixture.folder.put("config.json", "{").expect("a file");

    let result = fixture.reload(apply);

    assert!(matches!(result, Err(ReloadError::Config(_))), "{result:?}");
    assert!(!fixture.is_new());
}

#[test]
fn a_deploy_file_with_an_unknown_class_changes_nothing() {
    let fixture = Fixture::new();
    let file = deploy_file("none");
    fixture
        .folder
        .put("clickhouse.toml", &file)
        .expect("a file");

    let result = fixture.reload(apply);

    assert!(
        matches!(result, Err(ReloadError::ClickHouseNames(_))),
        "{result:?}"
    );
    assert!(!fixture.is_new());
}

#[test]
fn a_dispatcher_that_has_ended_changes_nothing() {
    let fixture = Fixture::new();
    fixture.dispatcher.close();

    let result = fixture.reload(apply);

    assert!(
        matches!(result, Err(ReloadError::DispatcherEnded)),
        "{result:?}"
    );
    assert!(!fixture.is_new());
}

#[test]
fn a_dispatcher_that_ends_with_the_new_settings_in_its_mailbox_changes_nothing() {
    let fixture = Fixture::new();

    let result = fixture.reload(drop);

    assert!(
        matches!(result, Err(ReloadError::DispatcherEnded)),
        "{result:?}"
    );
    assert!(!fixture.is_new());
}

/// The watch ends only when the process exits. The configuration is still applied as a whole.
#[test]
fn a_reload_completes_although_the_coordinators_watch_has_ended() {
    let fixture = Fixture::new();
    fixture.coordinator.close();

    let result = fixture.reload(apply);

    assert!(result.is_ok(), "{result:?}");
    assert_eq!(
        fixture.reload.shared.limits.get().descriptors,
        NEW_DESCRIPTORS
    );
}
