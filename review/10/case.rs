//! An upgrade while discovery is silent: the new process sends loads to an engine of which the old
//! one knew for long that it drains, and which ends under them.
#[path = "../common-2.rs"]
mod common;

use common::{
    Coordinator, Engine, Listed, Plan, Received, Rpc, at_ms, await_ready, begin, config,
    free_address, known, note, pause, rows_of, settings, start_manager, trouble, verdict,
    write_file,
};

/// The time from the drain's event to the upgrade: more than the 7 s after which everything counts
/// as told.
const TOLD_MS: u64 = 7_500;
/// After the new process's yes the coordinator's news counts as told 2 s later.
const TOLD_AFTER_YES_MS: u64 = 2_000;
/// The time in which sends to a draining engine must end, 50 ms longer on sockets.
const GRACE_MS: u64 = 300;
/// How long a load runs, and when the draining engine's process ends after the loads were sent.
const RUN_MS: u64 = 2_000;
const END_AFTER_MS: u64 = 1_000;
const LOADS: u64 = 4;
const WAIT_MS: u64 = 12_000;

fn main() {
    begin("case-10");
    let engines: Vec<Engine> = ["engine-1", "engine-2"]
        .into_iter()
        .map(|name| {
            Engine::start(name, |request| Plan::Rows {
                after_ms: if request.fields.contains("cls=load") {
                    RUN_MS
                } else {
                    20
                },
                rows: rows_of(&request.statement, 3),
            })
        })
        .collect();
    let listed = |number: usize, state| Listed {
        id: number as u32 + 1,
        addr: engines[number].addr,
        state,
        started_ms: 0,
    };
    let list = [listed(0, "in_service"), listed(1, "in_service")];
    let coordinator = Coordinator::start();
    let (clients, older_console, newer_console) = (free_address(), free_address(), free_address());
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
    let older = start_manager("older", &config, "state", Some(older_console), &[], "");
    older.note_end();
    await_ready(older_console);
    let draining = &engines[0];
    coordinator.tell(&[listed(0, "terminating")]);
    let event_ms = at_ms();
    pause(1_000);
    let mut client = Rpc::connect("client", clients);
    for number in 1..=4 {
        client.send(
            number,
            "lookup",
            5_000,
            &format!("SELECT {number} FROM sales_1.orders"),
        );
        assert!(matches!(client.receive(5_000), Received::Line(_)));
    }
    pause((event_ms + TOLD_MS).saturating_sub(at_ms()));
    if trouble() {
        coordinator.set_silent(true);
    }
    let newer = start_manager("newer", &config, "state", Some(newer_console), &[], "");
    newer.note_end();
    await_ready(newer_console);
    let yes_ms = at_ms();
    older.signal("TERM");
    pause(TOLD_AFTER_YES_MS + 500);
    let told_ms = (event_ms + TOLD_MS).max(yes_ms + TOLD_AFTER_YES_MS);
    let mut client = Rpc::connect("second client", clients);
    for number in 1..=LOADS {
        client.send(
            number,
            "load",
            WAIT_MS,
            &format!("INSERT INTO sales_{number}.orders SELECT {number}"),
        );
    }
    pause(END_AFTER_MS);
    // The drain has taken more than 10 s: the engine's own work has long ended.
    draining.stop();
    let mut broken = Vec::new();
    for _ in 0..LOADS {
        match client.receive(WAIT_MS) {
            Received::Line(line) if line.contains("\"result\"") => {}
            Received::Line(line) => broken.push(format!("a load was lost with its engine: {line}")),
            ended => broken.push(format!("a load got no answer: {ended:?}")),
        }
    }
    for request in draining.received() {
        if request.came_ms > told_ms + GRACE_MS {
            broken.push(format!(
                "{} was sent {} {} ms after the event that it drains, {} ms after the yes",
                request.engine,
                request.statement,
                request.came_ms - event_ms,
                request.came_ms - yes_ms
            ));
        } else if request.came_ms > event_ms + GRACE_MS {
            note(&format!(
                "{} was sent {} before it counts as told to the new process",
                request.engine, request.statement
            ));
        }
    }
    verdict(&broken);
}
