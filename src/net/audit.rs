//! The two sides of the audit: the dispatcher's writer, which never blocks, and the audit thread,
//! which owns the files.
use super::Shared;
use crate::audit::store::Store;
use crate::audit::{
    ActiveConfiguration, AuditBuffer, Batch, Bounds, Decision, DecisionContext, DecisionKind, Page,
    RecordPosition,
};
use crate::clock::{self, Micros};
use crate::lease::{FencingToken, Resource};
use crate::log;
use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use futures_lite::future::or;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Capacity of the audit thread's queue, in commands.
const MAX_PENDING_COMMANDS: usize = 64;
/// How long the process waits at its exit for the last batch to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an operator's read waits for the audit thread.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// A command to the audit thread.
pub enum AuditCommand {
    /// Write a batch.
    Write(Batch),
    /// Read a page.
    Read {
        /// The position after which the page begins.
        after: RecordPosition,
        /// The limit of records in the page.
        max_records: usize,
        /// Where the page is sent.
        reply: Sender<Result<Page, AuditReadError>>,
    },
}

/// Why a page of the audit could not be read.
#[derive(Debug, Error)]
pub enum AuditReadError {
    /// The audit thread's queue is full.
    #[error("the files are behind")]
    Busy,
    /// The audit thread did not send the page in time.
    #[error("the files take too long")]
    Timeout,
    /// The audit thread has ended.
    #[error("the program ends")]
    Stopping,
    /// The folder can't be read.
    #[error(transparent)]
    Storage(#[from] io::Error),
}

/// Why the audit could not be started.
#[derive(Debug, Error)]
pub enum AuditStartError {
    /// There is no folder for the files.
    #[error(transparent)]
    StateFolder(#[from] StateFolderUnset),
    /// The folder can't be read.
    #[error("fleet: the audit files in {} can't be read: {source}", folder.display())]
    Storage {
        /// The folder.
        folder: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The audit thread could not be started.
    #[error("fleet: the audit thread can't be started: {0}")]
    Thread(#[source] io::Error),
}

/// The dispatcher's side of the audit.
pub struct AuditWriter {
    buffer: AuditBuffer,
    commands: Sender<AuditCommand>,
    /// Closed once the audit thread has ended.
    ended: Receiver<()>,
}

/// The environment names no folder for files that have to survive a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("fleet: TMPDIR, the folder of the audit files and the votes, is empty or not set")]
pub struct StateFolderUnset;

/// The folder of the audit's and the voter's files: `$TMPDIR`, which the operator has to set.
///
/// # Errors
/// If `TMPDIR` is empty or not set.
pub fn folder() -> Result<PathBuf, StateFolderUnset> {
    std::env::var_os("TMPDIR")
        .filter(|folder| !folder.is_empty())
        .map(PathBuf::from)
        .ok_or(StateFolderUnset)
}

/// A file in that [`folder`].
///
/// # Errors
/// If `TMPDIR` is empty or not set.
pub fn file(name: &str) -> Result<PathBuf, StateFolderUnset> {
    folder().map(|folder| folder.join(name))
}

/// Starts the audit thread.
///
/// # Errors
/// If there is no folder for the files, it can't be read, or the thread can't be started.
pub fn start(
    shared: &Rc<Shared>,
    context: DecisionContext,
    bounds: Bounds,
) -> Result<AuditWriter, AuditStartError> {
    let folder = folder()?;
    let store = match Store::open(&folder, &context.member, bounds) {
        Ok(store) => store,
        Err(source) => return Err(AuditStartError::Storage { folder, source }),
    };
    let (commands, pending_commands) = bounded(MAX_PENDING_COMMANDS);
    let (end_signal, ended) = bounded(1);
    let run = move || {
        run_commands(store, &pending_commands);
        drop(end_signal);
    };
    std::thread::Builder::new()
        .name("audit".into())
        .spawn(run)
        .map_err(AuditStartError::Thread)?;
    *shared.audit_commands.borrow_mut() = Some(commands.clone());
    Ok(AuditWriter {
        buffer: AuditBuffer::new(context),
        commands,
        ended,
    })
}

/// The loop of the audit thread: runs until the queue of commands is closed and empty.
fn run_commands(mut store: Store, commands: &Receiver<AuditCommand>) {
    while let Ok(command) = commands.recv_blocking() {
        // The rate limit of the log uses this thread's last reading of the clock.
        clock::read();
        match command {
            AuditCommand::Write(batch) => {
                if let Err(error) = store.append(batch) {
                    log!("audit: writing a batch failed, its records are lost: {error}");
                }
            }
            AuditCommand::Read {
                after,
                max_records,
                reply,
            } => {
                let page = store.read(after, max_records);
                let _ = reply.try_send(page.map_err(AuditReadError::from));
            }
        }
    }
    if let Err(error) = store.report_lost_records() {
        log!("audit: writing the count of lost records failed: {error}");
    }
}

impl AuditWriter {
    /// When [`record_all`](Self::record_all) has to be called again, if records are buffered.
    pub fn flush_due_at(&self) -> Option<Micros> {
        self.buffer.flush_due_at()
    }

    /// Records decisions, and sends the batch to the audit thread if it is due.
    pub fn record_all(&mut self, now: Micros, decisions: &[Decision]) {
        for decision in decisions {
            self.buffer.record(now, decision);
        }
        if let Some(batch) = self.buffer.flush(now) {
            self.send(batch);
        }
    }

    /// Sets the configuration that the decision module acts on from now on.
    pub fn set_configuration(&mut self, now: Micros, configuration: ActiveConfiguration) {
        self.buffer.set_configuration(now, configuration);
    }

    /// Records that this manager has acquired a lease, or holds it no longer.
    pub fn record_lease_change(
        &mut self,
        now: Micros,
        resource: Resource,
        token: FencingToken,
        is_held: bool,
    ) {
        let kind = if is_held {
            DecisionKind::AcquireLease { token }
        } else {
            DecisionKind::EndLease { token }
        };
        let decision = Decision {
            kind,
            class: "".into(),
            request: resource.to_string().into(),
        };
        self.buffer.record(now, &decision);
    }

    fn send(&mut self, batch: Batch) {
        let rejected = match self.commands.try_send(AuditCommand::Write(batch)) {
            Ok(()) => return,
            Err(error) => error.into_inner(),
        };
        if let AuditCommand::Write(batch) = rejected {
            self.buffer.mark_lost(clock::now(), &batch);
            log!(
                "audit: the queue of the audit thread is full or closed, {} records are lost",
                batch.record_count()
            );
        }
    }

    /// Sends the last batch, and waits a limited time until the audit thread has written it: the
    /// process is about to exit.
    pub async fn finish(mut self) {
        if let Some(batch) = self.buffer.finish() {
            self.send(batch);
        }
        self.commands.close();
        let ended = async {
            let _ = self.ended.recv().await;
        };
        let timeout = async {
            Timer::after(FINAL_WRITE_TIMEOUT).await;
        };
        or(ended, timeout).await;
    }
}

/// Reads a page for an operator; `None` if no audit is kept. Waits for the audit thread, never for
/// the dispatcher.
pub async fn read(
    shared: &Shared,
    after: RecordPosition,
    max_records: usize,
) -> Option<Result<Page, AuditReadError>> {
    let commands = shared.audit_commands.borrow().clone()?;
    let (reply, page) = bounded(1);
    let command = AuditCommand::Read {
        after,
        max_records,
        reply,
    };
    if commands.try_send(command).is_err() {
        return Some(Err(AuditReadError::Busy));
    }
    let timeout = async {
        Timer::after(READ_TIMEOUT).await;
        Err(AuditReadError::Timeout)
    };
    let page = async {
        let received = page.recv().await;
        received.unwrap_or(Err(AuditReadError::Stopping))
    };
    Some(or(page, timeout).await)
}
