//! Opens the listener of a client address: exclusively, or shared with an older process of the same
//! manager.
use super::StartError;
use crate::log;
use crate::net::address_claim::{AddressHolder, ManagerIdentity, address_holder};
use crate::net::client;
use async_io::Async;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// The maximum number of attempts to bind an address in use: its holder may be about to exit, or
/// may still be starting.
const MAX_ATTEMPTS: u32 = 10;
/// The time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// From this attempt on, a holder without a claim counts as a process that publishes none, and the
/// address may be shared with it.
const ATTEMPTS_FOR_CLAIM: u32 = 3;

/// Whether an older process of the same manager may listen at the address too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sharing {
    /// It may: a manager with an admin endpoint supports hot restart.
    WithSameManager,
    /// It may not: without an admin endpoint there is no hot restart.
    Never,
}

/// Binds the address. If it is in use, it is shared with an older process of the same manager, or
/// with a process without a claim, if `sharing` and the system permit that. It is never shared with
/// a process that claims it for another manager.
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
        let error = match bind_exclusively(address, sharing) {
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
        let waits_for_claim = holder == AddressHolder::Unknown && attempt < ATTEMPTS_FOR_CLAIM;
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

/// Binds the address if no other process listens there. With [`Sharing::WithSameManager`] other
/// processes may bind it later.
fn bind_exclusively(address: SocketAddr, sharing: Sharing) -> io::Result<Async<TcpListener>> {
    let listener = client::bind(address)?;
    if sharing == Sharing::WithSameManager {
        // Set only after the bind: otherwise two managers that start at once could both bind the
        // address. A failure is ignored: without the option only a successor without a state folder
        // can't bind the address.
        let _ = client::permit_sharing(&listener);
    }
    Ok(listener)
}

fn log_sharing(address: SocketAddr, holder: &AddressHolder) {
    match holder {
        AddressHolder::SameManager { process } => {
            log!(
                "client address {address} is shared with process {process} of this manager: each \
                 process receives some of the clients"
            );
        }
        _ => log!(
            "client address {address} is shared with an unidentified process (an older build or another \
             program): each process receives some of the clients"
        ),
    }
}
