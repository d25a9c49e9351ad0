//! An upgrade while statements of the ClickHouse interface run on engines of the platform: the two
//! processes give the same ids to different requests.
//!
//! The engines keep results by the request's id, as `page ID N` and `forget ID` name nothing else.
#[path = "../common-2.rs"]
mod common;

use common::{
    Coordinator, Engine, Listed, Plan, await_ready, begin, clickhouse_file, config, free_address,
    http, http_query, known, note, pause, rows_of, settings, start_manager, trouble, verdict,
    write_file,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};

/// How long the statements run that are sent before and after the upgrade.
const EARLIER_RUN_MS: u64 = 2_500;
const LATER_RUN_MS: u64 = 1_900;
/// How long an engine takes to read a further page of a result, and the rows of a result: 7 pages,
/// each well under 6,000 bytes.
const PAGE_MS: u64 = 100;
const ROWS: usize = 140;
/// Statements sent before the upgrade, and as many after it.
const STATEMENTS: usize = 4;

/// Sends a statement and checks that all rows of a result are its own.
fn ask(front: SocketAddr, label: String) -> JoinHandle<Option<String>> {
    thread::spawn(move || {
        let statement = format!("SELECT {label} FROM sales_1.orders JOIN sales_1.lines USING id");
        note(&format!("client {label}: sends {statement}"));
        let response = http(
            front,
            &http_query("max_execution_time=14", &statement),
            14_500,
        );
        let Some(response) = response else {
            return Some(format!("client {label} got no answer"));
        };
        let own = |line: &&str| line.contains(&statement);
        let foreign = response.body.lines().filter(|line| !own(line)).count();
        let rows = response.body.lines().count();
        note(&format!(
            "client {label}: receives {}, {rows} rows, {foreign} of them not its own",
            response.status
        ));
        (response.status == 200 && foreign > 0)
            .then(|| format!("client {label} was served {foreign} rows of another client's result"))
    })
}

fn main() {
    begin("case-8");
    let engines: Vec<Engine> = ["engine-1", "engine-2"]
        .into_iter()
        .map(|name| {
            let engine = Engine::start(name, |request| Plan::Rows {
                after_ms: if request.statement.contains("earlier") {
                    EARLIER_RUN_MS
                } else {
                    LATER_RUN_MS
                },
                rows: rows_of(&request.statement, ROWS),
            });
            engine.set_page_time(PAGE_MS);
            engine
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
    let (clients, front) = (free_address(), free_address());
    let (older_console, newer_console) = (free_address(), free_address());
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
    let deploy = write_file("clickhouse.toml", &clickhouse_file(front, &[], ""));
    let arguments = deploy.display().to_string();
    let older = start_manager(
        "older",
        &config,
        "state",
        Some(older_console),
        &[],
        &arguments,
    );
    older.note_end();
    await_ready(older_console);
    let mut asked: Vec<_> = (0..STATEMENTS)
        .map(|number| ask(front, format!("earlier_{number}")))
        .collect();
    pause(300);
    if trouble() {
        let newer = start_manager(
            "newer",
            &config,
            "state",
            Some(newer_console),
            &[],
            &arguments,
        );
        newer.note_end();
        await_ready(newer_console);
        older.signal("TERM");
    }
    pause(300);
    asked.extend((0..STATEMENTS).map(|number| ask(front, format!("later_{number}"))));
    let mut broken: Vec<String> = asked
        .into_iter()
        .filter_map(|client| client.join().expect("a client ends"))
        .collect();
    let mut statements: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for request in engines.iter().flat_map(Engine::received) {
        let of_id = statements.entry(request.id).or_default();
        of_id.insert(request.statement);
    }
    for (id, of_id) in statements.iter().filter(|(_, of_id)| of_id.len() > 1) {
        broken.push(format!(
            "engines received {} requests under the id {id}",
            of_id.len()
        ));
    }
    verdict(&broken);
}
