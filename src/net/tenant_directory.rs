//! The actor of the tenant directory: reads it at the start of the process and then at an interval.
//! After a failed read the last good snapshot stays in use.
use super::dispatcher::DispatcherEvent;
use super::sleep_until;
use crate::clock::{self, Micros, SEC};
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

/// The time limit for reading the whole directory once, in seconds.
const READ_TIMEOUT_S: u64 = 10;
/// Upper limit of the delay between a failed read and the next one, in seconds.
const MAX_RETRY_DELAY_S: u64 = 5;
/// The size of a read from the socket, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Reads the directory within the time limit.
async fn read(config: &DirectoryConfig) -> Result<DirectorySnapshot, ReadError> {
    let timeout: Micros = READ_TIMEOUT_S * SEC;
    let timed_out = async {
        sleep_until(Some(clock::read() + timeout)).await;
        Err(ReadError::Timeout {
            seconds: READ_TIMEOUT_S,
        })
    };
    or(read_snapshot(config), timed_out).await
}

async fn read_snapshot(config: &DirectoryConfig) -> Result<DirectorySnapshot, ReadError> {
    let mut stream = Async::<TcpStream>::connect(config.addr).await?;
    // Without TCP_NODELAY the read is only slower.
    let _ = stream.get_ref().set_nodelay(true);
    let (mut read, bind) = DirectoryRead::new(config.clone());
    stream.write_all(&bind).await?;
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(ReadError::Closed);
        }
        let progress = read.feed(&buffer[..count])?;
        let written = stream.write_all(&progress.output).await;
        match progress.snapshot {
            // The last message is the unbind, whose arrival does not matter.
            Some(snapshot) => return Ok(snapshot),
            None => written?,
        }
    }
}

/// Reads the directory, and applies each snapshot to the frontend and the dispatcher.
pub struct DirectoryReader {
    /// Where and what to read.
    pub config: DirectoryConfig,
    /// The users of the deploy file, which take precedence over those of the directory.
    pub file_users: Rc<RefCell<Users>>,
    /// The tenants, as they are passed to the decision module.
    pub tenants: Tenants,
    /// The frontend whose users these are.
    pub frontend: Rc<ClickHouseShared>,
    /// The dispatcher, which receives the tenants' shares.
    pub dispatcher: Sender<DispatcherEvent>,
}

impl DirectoryReader {
    /// Reads once and applies the snapshot; returns the seconds to wait before the next read.
    pub async fn refresh(&mut self) -> u64 {
        match read(&self.config).await {
            Ok(snapshot) => {
                self.apply(&snapshot).await;
                self.config.refresh_s
            }
            Err(error) => {
                log!(
                    "tenant directory {}: read failed, the last snapshot stays in use: {error}",
                    self.config.addr
                );
                self.send(DispatcherEvent::DirectoryFailed).await;
                self.config.refresh_s.min(MAX_RETRY_DELAY_S)
            }
        }
    }

    async fn apply(&mut self, snapshot: &DirectorySnapshot) {
        let mut users = Users::default();
        snapshot.apply(&mut self.tenants, &mut users);
        users.extend(&self.file_users.borrow());
        *self.frontend.users.borrow_mut() = users;
        self.send(DispatcherEvent::Tenants(self.tenants.specs.clone()))
            .await;
        self.send(DispatcherEvent::DirectoryRead).await;
    }

    async fn send(&self, event: DispatcherEvent) {
        // The dispatcher's mailbox is closed only while the process exits.
        let _ = self.dispatcher.send(event).await;
    }

    /// Refreshes the directory periodically while the process runs, first after `delay_s` seconds.
    pub async fn run(mut self, mut delay_s: u64) {
        loop {
            Timer::after(Duration::from_secs(delay_s)).await;
            delay_s = self.refresh().await;
        }
    }
}
