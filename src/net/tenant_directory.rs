//! The actor of the directory: reads it at the start and then slowly again; a failure keeps the
//! last good list.
use super::dispatcher::DispatcherEvent;
use super::sleep_until;
use crate::clock::{self, SEC};
use crate::config::clickhouse::{DirectoryConfig, Users};
use crate::frontend::clickhouse::ClickHouseShared;
use crate::log;
use crate::tenant_directory::{DirectoryRead, DirectorySnapshot, ReadError, Tenants};
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Time for one reading.
const LIMIT: u64 = 10 * SEC;
/// After a failure the next try comes sooner than the usual refresh.
const AGAIN_S: u64 = 5;

async fn read(line: &DirectoryConfig) -> Result<DirectorySnapshot, ReadError> {
    let reading = async {
        let broken = |_| ReadError::Connection;
        let mut stream = Async::<TcpStream>::connect(line.addr)
            .await
            .map_err(broken)?;
        let _ = stream.get_ref().set_nodelay(true);
        let (mut reading, hello) = DirectoryRead::new(line.clone());
        stream.write_all(&hello).await.map_err(broken)?;
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let n = stream.read(&mut buffer).await.map_err(broken)?;
            if n == 0 {
                return Err(ReadError::Connection);
            }
            let (out, listing) = reading.feed(&buffer[..n])?;
            // The last word is a farewell: whether it arrives does not matter.
            match (stream.write_all(&out).await, listing) {
                (_, Some(listing)) => return Ok(listing),
                (Err(_), None) => return Err(ReadError::Connection),
                (Ok(()), None) => {}
            }
        }
    };
    let late = async {
        sleep_until(Some(clock::turn() + LIMIT)).await;
        Err(ReadError::Connection)
    };
    or(reading, late).await
}

/// What a reading changes.
pub struct Reader {
    /// Where and what to read.
    pub line: DirectoryConfig,
    /// The users of the deploy file, who come before those of the directory.
    pub file: Rc<RefCell<Users>>,
    /// The tenants as the module knows them.
    pub tenants: Tenants,
    /// Whose users these are.
    pub service: Rc<ClickHouseShared>,
    /// The module.
    pub core: Sender<DispatcherEvent>,
}

impl Reader {
    /// Reads once, and tells how many seconds to wait for the next time.
    pub async fn once(&mut self) -> u64 {
        match read(&self.line).await {
            Ok(listing) => {
                let mut users = Users::default();
                listing.apply(&mut self.tenants.names, &mut self.tenants.specs, &mut users);
                users.extend(&self.file.borrow());
                *self.service.users.borrow_mut() = users;
                let _ = self
                    .core
                    .send(DispatcherEvent::Tenants(self.tenants.specs.clone()))
                    .await;
                let _ = self.core.send(DispatcherEvent::DirectoryRead).await;
                self.line.refresh_s
            }
            Err(fault) => {
                log!("the directory was not read, the last list stands: {fault:?}");
                let _ = self.core.send(DispatcherEvent::DirectoryFailed).await;
                self.line.refresh_s.min(AGAIN_S)
            }
        }
    }

    /// Reads for as long as the program runs.
    pub async fn run(mut self, mut pause: u64) {
        loop {
            Timer::after(Duration::from_secs(pause)).await;
            pause = self.once().await;
        }
    }
}
