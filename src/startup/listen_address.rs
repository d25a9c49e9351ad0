//! Opens the listener of a client address: alone, or beside an older process of the same manager.
use super::StartError;
use crate::log;
use crate::net::address_claim::{AddressHolder, ManagerIdentity, address_holder};
use crate::net::client;
use async_io::Async;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// How often an address in use is tried: its holder may just be dying, or starting.
const MAX_ATTEMPTS: u32 = 10;
/// The time between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// After this many tries a holder without a claim counts as one that has none.
const ATTEMPTS_WITHOUT_CLAIM: u32 = 3;

/// Whether an older process of the manager may have the address too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sharing {
    /// A manager with an admin endpoint can be replaced while it serves.
    WithSameManager,
    /// Without one it can't.
    Never,
}

/// Binds the address. Where it is in use, it is shared with an older process of the same manager, and
/// with one of which nothing can be told, where the system permits that; never with another manager.
pub(super) fn bind(
    address: SocketAddr,
    manager: &ManagerIdentity,
    name: &str,
    sharing: Sharing,
) -> Result<Async<TcpListener>, StartError> {
    let failed = |source| StartError::Listen {
        name: name.to_owned(),
        address,
        source,
    };
    let mut attempt = 1;
    loop {
        let error = match bind_alone(address, sharing) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => error,
            bound => return bound.map_err(failed),
        };
        let holder = address_holder(address, manager);
        if let AddressHolder::OtherManager {
            process,
            name: holder,
        } = holder
        {
            return Err(StartError::AddressHeld {
                name: name.to_owned(),
                address,
                holder,
                process,
            });
        }
        if sharing == Sharing::Never {
            return Err(failed(error));
        }
        let waits_for_claim = holder == AddressHolder::Unknown && attempt < ATTEMPTS_WITHOUT_CLAIM;
        if !waits_for_claim {
            match client::bind_shared(address) {
                Ok(listener) => {
                    log_sharing(address, &holder);
                    return Ok(listener);
                }
                Err(error) if attempt == MAX_ATTEMPTS => return Err(failed(error)),
                Err(_) => {}
            }
        }
        attempt += 1;
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Binds the address if nobody listens there. With [`Sharing::WithSameManager`] others may join later.
fn bind_alone(address: SocketAddr, sharing: Sharing) -> io::Result<Async<TcpListener>> {
    let listener = client::bind(address)?;
    if sharing == Sharing::WithSameManager {
        // Not before the listener has the address: two that start at once would both have it. Without
        // the option only a successor without a state folder is kept out.
        let _ = client::permit_sharing(&listener);
    }
    Ok(listener)
}

fn log_sharing(address: SocketAddr, holder: &AddressHolder) {
    match holder {
        AddressHolder::SameManager { process } => {
            log!("{address} is shared with process {process} of this manager");
        }
        _ => log!(
            "{address} is shared with a process that can't be told: an older build, or another program"
        ),
    }
}
