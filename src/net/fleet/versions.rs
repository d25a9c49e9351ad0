//! The versions that this process runs with, which include its build, the hash of its settings and
//! its stage.
use crate::audit::ActiveConfiguration;
use crate::membership::{RunningVersions, SHUT_OUT};
use crate::net::Shared;
use sha2::{Digest, Sha256};

/// The build id if `YOKELIFT_BUILD_ID` was not set when the program was compiled.
const LOCAL_BUILD_ID: &str = "local";

/// The build of this program: the version of the package and the build id.
pub fn build_id() -> String {
    let id = option_env!("YOKELIFT_BUILD_ID").unwrap_or(LOCAL_BUILD_ID);
    format!("{}+{id}", env!("CARGO_PKG_VERSION"))
}

/// A hash of the settings in a configuration. It excludes the manager's own name and addresses, so
/// it is equal on all managers with equal settings.
pub fn settings_hash(config: &serde_json::Value) -> u64 {
    let settings = config.get("settings").unwrap_or(config);
    let digest = Sha256::digest(settings.to_string().as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(prefix)
}

/// The versions that the process of `shared` currently runs with.
pub(super) fn running_versions(shared: &Shared) -> RunningVersions {
    let ActiveConfiguration {
        generation,
        settings,
        list,
    } = shared.active_configuration.get();
    RunningVersions {
        build: build_id(),
        generation,
        settings,
        list,
        stage: stage(shared),
    }
}

fn stage(shared: &Shared) -> String {
    let lifecycle = shared.lifecycle.borrow();
    if lifecycle.is_excluded() {
        SHUT_OUT.to_owned()
    } else {
        lifecycle.stage().name_in_member_updates().to_owned()
    }
}
