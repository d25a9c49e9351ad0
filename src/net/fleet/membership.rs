//! The actor of the fleet's membership: one UDP socket between managers, the pure machine of
//! `crate::membership`, and what it puts down for the second address. Started only with the
//! operator's fleet file.
use crate::audit::ActiveConfiguration;
use crate::clock::{self, MS, Micros};
use crate::config::fleet::FleetConfig;
use crate::lease::Holder;
use crate::lease::codec::{self as letters, Datagram, LeaseMessage};
use crate::lifecycle::Stage;
use crate::log;
use crate::membership::codec::{self, DecodeError};
use crate::membership::{
    Action, ActiveGatewayCount, MemberState, MemberUpdate, Membership, Message, RunningVersions,
    SHUT_OUT, Straggler, VersionStatus,
};
use crate::net::discovery::coordinator::CoordinatorMigration;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::fleet::lease::{self, LeaseService};
use crate::net::{Shared, sleep_until};
use async_channel::Sender;
use async_io::Async;
use futures_lite::future::or;
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;

/// What is owned is put down this often: each duty is ranked over all members.
const OWNED_EVERY: Micros = 200 * MS;
/// The view is put down anew at most this often, and at each change of a member.
const VIEW_EVERY: Micros = 100 * MS;

/// A seat that is taken is asked for again this often.
const SEAT_EVERY: Micros = 100 * MS;

/// The build this program was made from: its version, and the id given to the build if one was.
pub fn build() -> String {
    let id = option_env!("YOKELIFT_BUILD_ID").unwrap_or("local");
    format!("{}+{id}", env!("CARGO_PKG_VERSION"))
}

/// A hash of the settings of a configuration, the same for equal settings on every manager: the
/// name and addresses of each manager are not part of it.
pub fn settings_hash(config: &serde_json::Value) -> u64 {
    let digest = Sha256::digest(
        config
            .get("settings")
            .unwrap_or(config)
            .to_string()
            .as_bytes(),
    );
    u64::from_be_bytes(digest[..8].try_into().unwrap_or_default())
}

/// One row of `GET /fleet`.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Whether this is the manager that answers.
    #[serde(rename = "self")]
    pub me: bool,
    /// The member's news.
    #[serde(flatten)]
    pub rumour: MemberUpdate,
    /// Milliseconds since it is as it is.
    pub since_ms: u64,
}

/// What the membership put down last.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// This manager first, then the others by name.
    pub members: Vec<Row>,
    /// Where this manager stands against the majority.
    pub standing: VersionStatus,
    /// Datagrams that could not be used.
    pub dropped: u64,
}

impl View {
    /// JSON lines: one member a line.
    pub fn lines(&self) -> String {
        let mut text = String::new();
        for row in &self.members {
            text.push_str(&serde_json::to_string(row).unwrap_or_default());
            text.push('\n');
        }
        text
    }
}

/// What this manager acts on now.
fn versions(shared: &Shared) -> RunningVersions {
    let ActiveConfiguration {
        generation,
        settings,
        list,
    } = shared.active_configuration.get();
    let life = shared.lifecycle.borrow();
    let stage = if life.is_excluded() {
        SHUT_OUT.to_owned()
    } else {
        life.stage().to_string()
    };
    RunningVersions {
        build: build(),
        generation,
        settings,
        list,
        stage,
    }
}

/// Binds the socket: a start with a taken address ends with one line.
pub fn bind(at: SocketAddr) -> Result<Async<UdpSocket>, String> {
    let socket = UdpSocket::bind(at).and_then(Async::new);
    socket.map_err(|e| format!("fleet: can't take datagrams at {at}: {e}"))
}

/// Who runs the membership.
pub struct MembershipService {
    /// The manager's name.
    pub name: String,
    /// The start of its process.
    pub life: Micros,
    /// The operator's file.
    pub fleet: FleetConfig,
    /// How many managers there are, by the settings.
    pub managers: u32,
    /// The module, which is told how many of them share the engines.
    pub module: Sender<DispatcherEvent>,
    /// The coordinator's actor, which follows anew where this manager's list is behind.
    pub coordinator: Sender<CoordinatorMigration>,
}

/// What differs for a manager that is one of many in one process.
pub struct Hollow {
    /// Where it keeps what it has to find again in its next life.
    pub folder: PathBuf,
    /// How often it would have read its configuration again: the process is not its own to signal.
    pub reloads: Cell<u64>,
}

/// Runs the membership on its socket, or on that address once the process before this one has left
/// it.
pub async fn take_seat(
    shared: Rc<Shared>,
    mut socket: Option<Async<UdpSocket>>,
    at: SocketAddr,
    seat: MembershipService,
) {
    while socket.is_none() && shared.lifecycle.borrow().stage() != Stage::Stopping {
        sleep_until(Some(clock::turn() + SEAT_EVERY)).await;
        socket = bind(at).ok();
    }
    if let Some(socket) = socket {
        run(shared, socket, seat).await;
    }
}

/// Runs the membership until the program is asked to end; then it says that it goes.
async fn run(shared: Rc<Shared>, socket: Async<UdpSocket>, seat: MembershipService) {
    let MembershipService {
        name,
        life,
        fleet,
        managers,
        module,
        coordinator,
    } = seat;
    let now = clock::turn();
    let bound = socket
        .get_ref()
        .local_addr()
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let (addr, seeds, timing) = (fleet.advertise.unwrap_or(bound), fleet.seeds, fleet.timing);
    let fleet_duties = fleet.duties;
    // A new life outranks every earlier one under the same name: its first incarnation is the time
    // of its start.
    let me = MemberUpdate {
        name,
        addr,
        incarnation: life,
        state: MemberState::Alive,
        versions: versions(&shared),
    };
    let (grace, most) = (timing.grace_ms * MS, timing.datagram);
    let mut machine = Membership::new(me, timing, seeds, now, now);
    let mut straggler = Straggler::default();
    let (mut buffer, mut shown_at, mut brought_up) = (vec![0; most + 1], 0, false);
    let mut owned_at = 0;
    let (mut sharers, mut told) = (ActiveGatewayCount::new(managers), managers);
    let socket = Rc::new(socket);
    let desk = fleet_duties.map(|duties| {
        let (me, late) = (
            Holder {
                name: machine.me().name.clone(),
                incarnation: life,
            },
            socket.clone(),
        );
        let traffic = shared.traffic.clone();
        let send = move |Datagram { to, bytes }| traffic.send(late.get_ref(), to, &bytes);
        LeaseService::open(&shared, me, &duties, module.clone(), send, now)
    });
    let mut desk =
        desk.and_then(|desk| desk.map_err(|e| log!("{e}: no duties are shared out")).ok());
    let words = desk.as_ref().map(LeaseService::probe_requests);
    loop {
        let wakes = desk
            .as_ref()
            .and_then(LeaseService::next_wakeup)
            .map_or(machine.next_wakeup(), |at| at.min(machine.next_wakeup()));
        let datagram = async {
            Some(Received::Datagram(
                socket.recv_from(&mut buffer).await.ok()?,
            ))
        };
        let word = async {
            match &words {
                Some(words) => words.recv().await.ok().map(Received::Word),
                None => std::future::pending().await,
            }
        };
        let late = async {
            sleep_until(Some(wakes)).await;
            None
        };
        let came = or(datagram, or(word, late)).await;
        let now = clock::turn();
        let mut letters = Vec::new();
        let mut out = Vec::new();
        machine.set_versions(versions(&shared));
        if let Some(Received::Datagram((n, _))) = &came {
            shared.traffic.received(&buffer[..*n]);
        }
        match (came, &mut desk) {
            (Some(Received::Word(word)), Some(desk)) => {
                desk.on_probe_request(word, &machine, now, &mut letters)
            }
            (Some(Received::Datagram((n, from))), desk) => match (read(&buffer[..n], most), desk) {
                (Ok(Read::Message(message)), _) => machine.receive(from, *message, now, &mut out),
                (Ok(Read::Letter(letter)), Some(desk)) => {
                    desk.receive(from, letter, &machine, now, &mut letters);
                }
                // This manager shares no duties.
                (Ok(Read::Letter(_)), None) => machine.dropped += 1,
                (Err(why), _) => {
                    machine.dropped += 1;
                    let why = match why {
                        DecodeError::Foreign => "of another format",
                        DecodeError::Spoilt => "spoilt",
                        DecodeError::Oversized => "too large",
                    };
                    log!("fleet: a datagram from {from} dropped: {why}");
                }
            },
            _ => {}
        }
        machine.tick(now, &mut out);
        if let Some(desk) = &mut desk {
            desk.tick(&machine, now, &mut letters);
            // Duties pass at once from one that takes no clients.
            if !shared.lifecycle.borrow().is_ready() {
                desk.release_all(&machine, &mut letters);
            }
        }
        for Datagram { to, bytes } in letters {
            shared.traffic.send(socket.get_ref(), to, &bytes);
        }
        let mut changed = false;
        for action in out {
            match action {
                Action::Send(to, message) => {
                    shared
                        .traffic
                        .send(socket.get_ref(), to, &codec::encode(&message));
                }
                Action::Changed(name, health) => {
                    changed = true;
                    log!("fleet: {name} is {health:?}");
                }
            }
        }
        let others: Vec<&RunningVersions> = (machine.members().values())
            .filter(|m| m.update.state != MemberState::Left)
            .map(|m| &m.update.versions)
            .collect();
        let standing = straggler.judge(&machine.me().versions, &others, grace, now);
        stand(&shared, standing, &mut brought_up, &coordinator);
        let rumours = machine.members().values().map(|m| &m.update);
        let counted = sharers.count(machine.me(), rumours, grace, now);
        // Without room in the module's mailbox it is told at a later turn: nobody waits for it
        // here.
        if counted != told
            && module
                .try_send(DispatcherEvent::ActiveGateways(counted))
                .is_ok()
        {
            told = counted;
            log!("fleet: {counted} of {managers} managers share the engines");
        }
        if changed || now >= shown_at + VIEW_EVERY {
            shown_at = now;
            *shared.fleet_view.borrow_mut() = Some(Rc::new(view(&machine, standing, now)));
            if let Some(desk) = desk
                .as_ref()
                .filter(|_| shared.admin_enabled.get() && now >= owned_at + OWNED_EVERY)
            {
                owned_at = now;
                *shared.lease_view.borrow_mut() = Some(desk.view(&machine, now).into());
            }
        }
        if shared.lifecycle.borrow().stage() == Stage::Stopping {
            let mut out = Vec::new();
            machine.leave(&mut out);
            for action in out {
                if let Action::Send(to, message) = action {
                    shared
                        .traffic
                        .send(socket.get_ref(), to, &codec::encode(&message));
                }
            }
            return;
        }
    }
}

/// What woke the actor.
enum Received {
    Datagram((usize, SocketAddr)),
    Word(lease::ProbeRequest),
}

/// What a datagram holds.
enum Read {
    Message(Box<Message>),
    Letter(LeaseMessage),
}

fn read(datagram: &[u8], most: usize) -> Result<Read, DecodeError> {
    match datagram.starts_with(&letters::TAG) {
        true => letters::decode(datagram, most).map(Read::Letter),
        false => codec::decode(datagram, most).map(|message| Read::Message(Box::new(message))),
    }
}

/// Acts on where the manager stands: once behind for the grace it reads its settings again, as at
/// SIGHUP, and follows the coordinator on a new connection; behind for twice that it is shut out;
/// in step it is back.
fn stand(
    shared: &Shared,
    standing: VersionStatus,
    brought_up: &mut bool,
    coordinator: &Sender<CoordinatorMigration>,
) {
    let out = standing == VersionStatus::ShutOut;
    if shared.lifecycle.borrow().is_excluded() != out {
        shared.lifecycle.borrow_mut().set_excluded(out);
        log!(
            "fleet: {}",
            if out {
                "behind the majority: shut out"
            } else {
                "in step with the majority again"
            }
        );
    }
    match standing {
        VersionStatus::BringUp if !*brought_up => {
            *brought_up = true;
            log!("fleet: behind the majority: reading the configuration and the list again");
            // Where there is no room another move waits, which does the same.
            let _ = coordinator.try_send(CoordinatorMigration {
                addr: None,
                known: Vec::new(),
            });
            match shared.hollow.get() {
                Some(hollow) => hollow.reloads.set(hollow.reloads.get() + 1),
                None => {
                    let me = rustix::process::getpid();
                    let _ = rustix::process::kill_process(me, rustix::process::Signal::HUP);
                }
            }
        }
        VersionStatus::InStep => *brought_up = false,
        _ => {}
    }
}

fn view(machine: &Membership, standing: VersionStatus, now: Micros) -> View {
    let me = Row {
        me: true,
        rumour: machine.me().clone(),
        since_ms: 0,
    };
    let others = machine.members().values().map(|m| Row {
        me: false,
        rumour: m.update.clone(),
        since_ms: now.saturating_sub(m.since) / MS,
    });
    View {
        members: std::iter::once(me).chain(others).collect(),
        standing,
        dropped: machine.dropped,
    }
}
