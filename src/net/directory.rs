//! The actor of the directory: reads it at the start and then slowly again; a failure keeps the last good list.
use super::core::Input;
use super::until;
use crate::clock::{self, SEC};
use crate::deploy::{DirectoryLine, Users};
use crate::directory::{Fault, Listing, Reading, Tenants};
use crate::front::clickhouse::Service;
use crate::log;
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Time for one reading.
const LIMIT: u64 = 10 * SEC;
/// After a failure the next try comes sooner than the usual refresh.
const AGAIN_S: u64 = 5;

async fn read(line: &DirectoryLine) -> Result<Listing, Fault> {
    let reading = async {
        let broken = |_| Fault::Connection;
        let mut stream = Async::<TcpStream>::connect(line.addr).await.map_err(broken)?;
        let (mut reading, hello) = Reading::new(line.clone());
        stream.write_all(&hello).await.map_err(broken)?;
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let n = stream.read(&mut buffer).await.map_err(broken)?;
            if n == 0 {
                return Err(Fault::Connection);
            }
            let (out, listing) = reading.feed(&buffer[..n])?;
            // The last word is a farewell: whether it arrives does not matter.
            match (stream.write_all(&out).await, listing) {
                (_, Some(listing)) => return Ok(listing),
                (Err(_), None) => return Err(Fault::Connection),
                (Ok(()), None) => {}
            }
        }
    };
    let late = async {
        until(Some(clock::turn() + LIMIT)).await;
        Err(Fault::Connection)
    };
    or(reading, late).await
}

/// Reads the directory for as long as the program runs. `file` holds the users of the deploy file, who come
/// before those of the directory.
pub async fn run(
    line: DirectoryLine,
    file: Users,
    mut tenants: Tenants,
    service: Rc<Service>,
    core: Sender<Input>,
) {
    let mut failures = 0u64;
    loop {
        let pause = match read(&line).await {
            Ok(listing) => {
                let mut users = Users::default();
                listing.apply(&mut tenants.names, &mut tenants.specs, &mut users);
                users.extend(&file);
                *service.users.borrow_mut() = users;
                let _ = core.send(Input::Tenants(tenants.specs.clone())).await;
                line.refresh_s
            }
            Err(fault) => {
                failures += 1;
                log!("the directory was not read, the last list stands: {fault:?} (failure {failures})");
                let _ = core.send(Input::DirectoryFailed).await;
                line.refresh_s.min(AGAIN_S)
            }
        };
        Timer::after(Duration::from_secs(pause)).await;
    }
}
