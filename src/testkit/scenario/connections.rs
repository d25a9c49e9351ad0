//! Steps for clients with persistent connections: several queries on one connection, streams of
//! queries, and idle clients.
use super::error::{StepError, expect};
use super::queries::named_statement;
use super::{PersistentConnection, Query, ScenarioRun, parse_count, parse_number};
use crate::testkit::clients::{self, ClientOutcome, PersistentClient, RpcRequest};
use crate::testkit::{Executor, pause, wait_until};
use std::net::SocketAddr;
use std::rc::Rc;

/// The number of connections that a stream of queries uses in turn.
const STREAM_CONNECTIONS: usize = 3;
/// The first request id of a stream, so that its ids differ from those of other queries.
const FIRST_STREAM_REQUEST_ID: usize = 0x5000_0000;

/// The part of a query that is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryPart {
    Whole,
    FirstHalf,
}

/// What idle clients send after they have connected.
#[derive(Clone, Copy)]
pub(super) enum InitialRequest {
    Nothing,
    /// One request for the daemon's status; on the HTTP frontend, a ping.
    Status,
}

/// The listener that idle clients connect to.
#[derive(Clone, Copy)]
pub(super) enum Listener {
    JsonRpc,
    Http,
    Admin,
}

/// A query on a persistent connection.
pub(super) struct ConnectionQuery<'a> {
    name: &'a str,
    class: &'a str,
    tenant: &'a str,
    wait_millis: u64,
    statement: String,
}

/// Queries that are sent one after the other, with a pause after each.
pub(super) struct QueryStream<'a> {
    name: &'a str,
    class: &'a str,
    tenant: &'a str,
    wait_millis: u64,
    queries: usize,
    gap_millis: u64,
}

/// A step for a client with a persistent connection.
pub(super) enum ConnectionStep<'a> {
    Open {
        connection: &'a str,
    },
    Send {
        connection: &'a str,
        query: ConnectionQuery<'a>,
        part: QueryPart,
    },
    SendRest {
        connection: &'a str,
    },
    ExpectClosed {
        connection: &'a str,
    },
    ExpectOpen {
        connection: &'a str,
    },
    OpenIdle {
        name: &'a str,
        initial_request: InitialRequest,
        listener: Listener,
        clients: usize,
    },
    ExpectIdleClosed {
        name: &'a str,
    },
    Stream(QueryStream<'a>),
    ExpectStreamCompleted {
        name: &'a str,
    },
}

impl<'a> ConnectionStep<'a> {
    pub(super) fn parse(words: &[&'a str]) -> Result<Option<ConnectionStep<'a>>, StepError> {
        let step = match *words {
            ["keep", connection] => ConnectionStep::Open { connection },
            [
                verb @ ("ask" | "begin"),
                name,
                "on",
                connection,
                class,
                tenant,
                wait,
                ref statement @ ..,
            ] => ConnectionStep::Send {
                connection,
                query: ConnectionQuery {
                    name,
                    class,
                    tenant,
                    wait_millis: parse_number(wait)?,
                    statement: named_statement(name, statement),
                },
                part: match verb {
                    "begin" => QueryPart::FirstHalf,
                    _ => QueryPart::Whole,
                },
            },
            ["rest", connection] => ConnectionStep::SendRest { connection },
            ["closed", connection] => ConnectionStep::ExpectClosed { connection },
            ["kept", connection] => ConnectionStep::ExpectOpen { connection },
            ["mute", name, listener, clients] => ConnectionStep::OpenIdle {
                name,
                initial_request: InitialRequest::Nothing,
                listener: Listener::parse(listener),
                clients: parse_count(clients)?,
            },
            ["stay", name, listener, clients] => ConnectionStep::OpenIdle {
                name,
                initial_request: InitialRequest::Status,
                listener: Listener::parse(listener),
                clients: parse_count(clients)?,
            },
            ["shut", name] => ConnectionStep::ExpectIdleClosed { name },
            ["stream", ref stream @ ..] => ConnectionStep::Stream(QueryStream::parse(stream)?),
            ["expect-all", name, "served"] => ConnectionStep::ExpectStreamCompleted { name },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

impl Listener {
    fn parse(word: &str) -> Listener {
        match word {
            "http" => Listener::Http,
            "console" => Listener::Admin,
            _ => Listener::JsonRpc,
        }
    }
}

impl<'a> QueryStream<'a> {
    fn parse(words: &[&'a str]) -> Result<QueryStream<'a>, StepError> {
        let [name, class, tenant, wait, queries, gap] = *words else {
            return Err(StepError::UnknownStep);
        };
        Ok(QueryStream {
            name,
            class,
            tenant,
            wait_millis: parse_number(wait)?,
            queries: parse_count(queries)?,
            gap_millis: parse_number(gap)?,
        })
    }
}

impl ScenarioRun<'_> {
    pub(super) async fn execute_connection_step(
        &mut self,
        step: ConnectionStep<'_>,
    ) -> Result<(), StepError> {
        match step {
            ConnectionStep::Open { connection } => self.open_connection(connection),
            ConnectionStep::Send {
                connection,
                query,
                part,
            } => self.send_on(connection, &query, part),
            ConnectionStep::SendRest { connection } => self.send_rest(connection),
            ConnectionStep::ExpectClosed { connection } => self.expect_closed(connection).await,
            ConnectionStep::ExpectOpen { connection } => self.expect_open(connection),
            ConnectionStep::OpenIdle {
                name,
                initial_request,
                listener,
                clients,
            } => self.open_idle(name, initial_request, listener, clients),
            ConnectionStep::ExpectIdleClosed { name } => self.expect_idle_closed(name).await,
            ConnectionStep::Stream(stream) => self.start_stream(&stream),
            ConnectionStep::ExpectStreamCompleted { name } => {
                self.expect_stream_completed(name).await
            }
        }
    }

    fn open_connection(&mut self, name: &str) -> Result<(), StepError> {
        let addr = self.daemon()?.listen;
        let connection = PersistentConnection {
            client: PersistentClient::open(&self.executor, addr),
            unsent: Vec::new(),
        };
        self.persistent.insert(name.to_owned(), connection);
        Ok(())
    }

    fn connection(&self, name: &str) -> Result<&PersistentConnection, StepError> {
        self.persistent.get(name).ok_or(StepError::UnknownClient)
    }

    fn connection_mut(&mut self, name: &str) -> Result<&mut PersistentConnection, StepError> {
        self.persistent
            .get_mut(name)
            .ok_or(StepError::UnknownClient)
    }

    fn send_on(
        &mut self,
        connection: &str,
        query: &ConnectionQuery<'_>,
        part: QueryPart,
    ) -> Result<(), StepError> {
        let client_request_id = self.next_client_request_id();
        let connection = self.connection_mut(connection)?;
        let outcome = clients::PendingOutcome::default();
        let request = RpcRequest {
            class: query.class,
            key: &client_request_id,
            tenant: query.tenant,
            wait_ms: query.wait_millis,
            statement: &query.statement,
        };
        let parts = match part {
            QueryPart::Whole => 1,
            QueryPart::FirstHalf => 2,
        };
        let rest = connection.client.request(&request, outcome.clone(), parts);
        connection.unsent.extend(rest);
        let query_state = Query {
            task: None,
            outcome,
            disconnect_on_response: Rc::default(),
            reported: false,
        };
        self.queries.insert(query.name.to_owned(), query_state);
        Ok(())
    }

    fn send_rest(&mut self, connection: &str) -> Result<(), StepError> {
        let connection = self.connection_mut(connection)?;
        let rest = std::mem::take(&mut connection.unsent);
        connection.client.send(rest);
        Ok(())
    }

    async fn expect_closed(&self, connection: &str) -> Result<(), StepError> {
        let client = &self.connection(connection)?.client;
        let closed = wait_until(|| client.closed()).await;
        expect(closed, || "the connection is still open".into())
    }

    fn expect_open(&self, connection: &str) -> Result<(), StepError> {
        let closed = self.connection(connection)?.client.closed();
        expect(!closed, || "the connection is closed".into())
    }

    fn open_idle(
        &mut self,
        name: &str,
        initial_request: InitialRequest,
        listener: Listener,
        clients: usize,
    ) -> Result<(), StepError> {
        let json_rpc_addr = self.daemon()?.listen;
        let addr = match listener {
            Listener::JsonRpc => json_rpc_addr,
            Listener::Http => self.http_addr,
            Listener::Admin => self.admin_addr()?,
        };
        let initial_request: &[u8] = match (initial_request, listener) {
            (InitialRequest::Nothing, _) => b"",
            (InitialRequest::Status, Listener::Http) => clients::PING,
            (InitialRequest::Status, Listener::JsonRpc | Listener::Admin) => clients::STATUS,
        };
        let client = |_| {
            self.executor
                .spawn(clients::send_and_wait_for_close(addr, initial_request))
        };
        let tasks = (0..clients).map(client).collect();
        self.idle_clients.insert(name.to_owned(), tasks);
        Ok(())
    }

    /// Waits until the daemon has closed all connections of these idle clients.
    async fn expect_idle_closed(&mut self, name: &str) -> Result<(), StepError> {
        let clients = self.idle_clients.remove(name);
        for client in clients.ok_or(StepError::UnknownClient)? {
            client.await;
        }
        Ok(())
    }

    fn start_stream(&mut self, stream: &QueryStream<'_>) -> Result<(), StepError> {
        let addr = self.daemon()?.listen;
        let outcomes: Vec<clients::PendingOutcome> =
            (0..stream.queries).map(|_| Default::default()).collect();
        self.streams
            .entry(stream.name.to_owned())
            .or_default()
            .extend(outcomes.clone());
        let task = StreamTask {
            executor: self.executor.clone(),
            addr,
            name: stream.name.to_owned(),
            class: stream.class.to_owned(),
            tenant: stream.tenant.to_owned(),
            wait_millis: stream.wait_millis,
            gap_millis: stream.gap_millis,
        };
        self.background
            .push(self.executor.spawn(task.run(outcomes)));
        Ok(())
    }

    /// Waits for the outcomes of all queries of a stream, reports how many completed, and checks
    /// that all did.
    async fn expect_stream_completed(&mut self, name: &str) -> Result<(), StepError> {
        let outcomes = self.streams.get(name).ok_or(StepError::UnknownStream)?;
        wait_until(|| outcomes.iter().all(|outcome| outcome.borrow().is_some())).await;
        let is_completed =
            |outcome: &Option<ClientOutcome>| matches!(outcome, Some(ClientOutcome::Completed(_)));
        let others: Vec<String> = outcomes
            .iter()
            .filter(|outcome| !is_completed(&outcome.borrow()))
            .map(|outcome| format!("{:?}", outcome.borrow()))
            .collect();
        let total = outcomes.len();
        let completed = total - others.len();
        (self.report)(&format!("{name}: {completed} of {total} served"));
        expect(others.is_empty(), || others.join(", "))
    }
}

/// The client of a stream of queries.
struct StreamTask {
    executor: Executor,
    addr: SocketAddr,
    name: String,
    class: String,
    tenant: String,
    wait_millis: u64,
    gap_millis: u64,
}

impl StreamTask {
    fn connect(&self) -> PersistentClient {
        PersistentClient::open(&self.executor, self.addr)
    }

    /// Sends the queries on the connections in turn, and keeps these open for the responses until
    /// the task is dropped.
    async fn run(self, outcomes: Vec<clients::PendingOutcome>) {
        let mut connections: Vec<PersistentClient> =
            (0..STREAM_CONNECTIONS).map(|_| self.connect()).collect();
        for (index, outcome) in outcomes.into_iter().enumerate() {
            let connection = &mut connections[index % STREAM_CONNECTIONS];
            // Like real clients, replaces a connection that the daemon has closed.
            if connection.closed() {
                *connection = self.connect();
            }
            let client_request_id = format!("{:016x}", FIRST_STREAM_REQUEST_ID + index);
            let statement = format!("SELECT 1 /* {}{index} */", self.name);
            let request = RpcRequest {
                class: &self.class,
                key: &client_request_id,
                tenant: &self.tenant,
                wait_ms: self.wait_millis,
                statement: &statement,
            };
            connection.request(&request, outcome, 1);
            pause(self.gap_millis).await;
        }
        std::future::pending::<()>().await;
    }
}
