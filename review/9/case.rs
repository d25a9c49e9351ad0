//! A manager that starts while its directory of tenants says nothing, and a client of the ClickHouse
//! interface whose user stands in the operators' file.
#[path = "../common-2.rs"]
mod common;

use common::{
    Coordinator, Engine, Listed, Plan, at_ms, await_ready, begin, clickhouse_file, config,
    free_address, http, http_query, known, listen, note, pause, rows_of, settings, start_manager,
    trouble, verdict, write_file,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

/// The time limit that the client sets for its statement.
const LIMIT_S: u64 = 3;
/// The time limit of a final answer after that, beyond which the request counts as lost.
const LOST_AFTER_MS: u64 = 550;

/// Starts a directory: it accepts connections, and without the disruption it answers with no
/// entries.
fn start_directory() -> SocketAddr {
    let listener = listen();
    let addr = listener.local_addr().expect("the directory's address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_directory(stream));
        }
    });
    addr
}

/// One read of the directory: a bind, then searches. Each message of a read fits into one segment.
fn serve_directory(mut stream: TcpStream) {
    const BIND_RESPONSE: u8 = 0x61;
    const SEARCH_DONE: u8 = 0x65;
    let mut buffer = [0; 4096];
    let mut message = 0u8;
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            return;
        }
        message += 1;
        note(&format!("directory: receives message {message}"));
        if trouble() {
            continue;
        }
        let response = if message == 1 {
            BIND_RESPONSE
        } else {
            SEARCH_DONE
        };
        // An LDAPMessage with the message's id and the result code success.
        let success = [
            0x30, 0x0c, 0x02, 0x01, message, response, 0x07, 0x0a, 0x01, 0, 0x04, 0, 0x04, 0,
        ];
        if stream.write_all(&success).is_err() {
            return;
        }
    }
}

fn main() {
    begin("case-9");
    let engines: Vec<Engine> = ["engine-1", "engine-2"]
        .into_iter()
        .map(|name| {
            Engine::start(name, |request| Plan::Rows {
                after_ms: 50,
                rows: rows_of(&request.statement, 3),
            })
        })
        .collect();
    let list: Vec<Listed> = (1..)
        .zip(&engines)
        .map(|(id, engine)| Listed {
            id,
            addr: engine.addr,
            state: "in_service",
            started_ms: 0,
        })
        .collect();
    let coordinator = Coordinator::start();
    let directory = start_directory();
    let (clients, front, console) = (free_address(), free_address(), free_address());
    let config = write_file(
        "config.json",
        &config(
            "n0",
            clients,
            coordinator.addr,
            &known(&list),
            &settings("side_effect", false, 0, 1),
        ),
    );
    let deploy = write_file(
        "clickhouse.toml",
        &clickhouse_file(
            front,
            &[],
            &format!(
                "[directory]\naddr = \"{directory}\"\nbind_dn = \"cn=reader,dc=example\"\nbind_password = \"\"\n\
                 users_base = \"ou=people,dc=example\"\ntenants_base = \"ou=desks,dc=example\"\nrefresh_s = 300\n"
            ),
        ),
    );
    let manager = start_manager(
        "manager",
        &config,
        "state",
        Some(console),
        &[],
        &deploy.display().to_string(),
    );
    await_ready(console);
    let mut broken = Vec::new();
    for number in 1..=3 {
        let statement = format!("SELECT {number} FROM sales_{number}.orders");
        let sent_ms = at_ms();
        note(&format!(
            "client {number}: sends {statement}, max_execution_time={LIMIT_S}"
        ));
        let response = http(
            front,
            &http_query(&format!("max_execution_time={LIMIT_S}"), &statement),
            LIMIT_S * 1_000 + LOST_AFTER_MS,
        );
        let after_ms = at_ms() - sent_ms;
        match response {
            Some(response) => note(&format!(
                "client {number}: receives {} after {after_ms} ms",
                response.status
            )),
            None => broken.push(format!(
                "client {number} got no answer within {after_ms} ms, its limit is {LIMIT_S} s"
            )),
        }
        pause(100);
    }
    if let Some(end) = manager.ended() {
        broken.push(format!("the manager ended: {end}"));
    }
    verdict(&broken);
}
