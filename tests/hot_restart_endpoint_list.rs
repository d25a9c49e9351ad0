//! What one process of a hot restart has learned of the engines binds the other ones too, whatever
//! the coordinator says to them: between stand-ins on loopback, with the shipped daemon. Each scenario
//! fails if an engine receives an attempt after the time that a drain allows.
use std::path::Path;
use yokelift::testkit::scenario;

/// Runs a scenario, and panics with the failed steps if there are any.
fn run_scenario(text: &str) {
    let daemon = Path::new(env!("CARGO_BIN_EXE_yokelift"));
    if let Err(failures) = scenario::run(daemon, text, &mut |_| {}) {
        panic!("{text}\n{}", failures.join("\n"));
    }
}

/// Starts a process, which learns that one of three engines drains and that another one is gone. The
/// pause is longer than the time that a drain allows.
const LEARNED_BY_THE_OLDEST: &str = "engine one platform\nengine two platform\nengine three platform\n\
    console\nstart\ndrain one\ngone three\nfigure targets 2\nwait 350\n";

/// All the ways in which a coordinator says nothing of the engines.
const WAYS_OF_SILENCE: [&str; 5] = ["silent", "heartbeats", "partial", "closing", "gone"];

/// Steps that run loads on as many data sets at once, and expect that each is served.
fn loads(name: &str, count: usize) -> String {
    let ask = |number: usize| {
        format!(
            "ask {name}{number} rpc load billing-desk 9000 INSERT INTO ops_{number}.calls SELECT 1\n"
        )
    };
    let expect = |number: usize| format!("expect {name}{number} served\nruns {name}{number} 1\n");
    let asked: String = (1..=count).map(ask).collect();
    asked + &(1..=count).map(expect).collect::<String>()
}

/// Guards against an upgrade that forgets the endpoint list: in a past fault the newer process, which
/// heard nothing from the coordinator, sent loads to an engine of which the older one knew that it
/// drains, and they were lost with it.
#[test]
fn a_successor_knows_the_engines_of_its_predecessor_whatever_the_coordinator_says() {
    for way in WAYS_OF_SILENCE {
        run_scenario(&format!(
            "{LEARNED_BY_THE_OLDEST}coordinator {way}\nfollow\nfigure targets 2\nretire\nretired\n{}\
            term\nended\ncounter open 0",
            loads("a", 6)
        ));
    }
}

/// Guards the same in a chain of three processes: all of them serve, the middle one is killed, or the
/// two older ones are asked to stop one after the other. The pause lets the second process accept
/// successors, which it does shortly after it is ready.
#[test]
fn the_list_passes_through_a_chain_of_three_processes() {
    for chain in [
        "follow\nwait 200\nfollow\n",
        "follow\nwait 200\nfollow\nkill older\n",
        "follow\nwait 200\nfollow\nretire\nretired\nretire\nretired\n",
        "follow\nretire\nfollow\nretire\nretired\nretired\n",
    ] {
        run_scenario(&format!(
            "{LEARNED_BY_THE_OLDEST}coordinator silent\n{chain}figure targets 2\n{}",
            loads("a", 6)
        ));
    }
}

/// Guards against a drain that only the oldest of two or three processes hears of, after the others
/// have begun to serve.
#[test]
fn an_event_that_only_the_oldest_process_hears_reaches_the_newer_ones() {
    for successors in ["follow\n", "follow\nwait 200\nfollow\n"] {
        run_scenario(&format!(
            "engine one platform\nengine two platform\nengine three platform\nconsole\nstart\n\
            coordinator silent-on-new\n{successors}drain one\ngone three\nfigure targets 2\nwait 350\n{}",
            loads("a", 12)
        ));
    }
}

/// Guards the requests that the older process still accepts against a drain that only the newer one
/// hears of.
#[test]
fn an_event_that_only_the_newer_process_hears_reaches_the_older_one() {
    run_scenario(&format!(
        "engine one platform\nengine two platform\nengine three platform\nconsole\nstart\n\
        stall\nfollow\ndrain one\ngone three\nfigure targets 2\nwait 350\n{}",
        loads("a", 12)
    ));
}

/// Guards the newer process against a predecessor that is killed at any moment: it serves, with the
/// list if the predecessor had sent it.
#[test]
fn a_successor_serves_whenever_its_predecessor_is_killed() {
    for pause in [0, 1, 2, 4, 8, 16, 100, 500] {
        run_scenario(&format!(
            "engine one platform\nengine two platform\nconsole\nstart\ncoordinator silent\nlaunch\n\
            wait {pause}\nkill older\ncall GET /ready 200\n{}term\nended\ncounter open 0",
            loads("a", 2)
        ));
    }
    run_scenario(&format!(
        "{LEARNED_BY_THE_OLDEST}coordinator silent\nfollow\nkill older\n{}term\nended\ncounter open 0",
        loads("a", 6)
    ));
}

/// Guards the older process against a successor that is killed at any moment.
#[test]
fn a_predecessor_serves_whenever_its_successor_is_killed() {
    for pause in [0, 1, 2, 4, 8, 16, 100, 500] {
        run_scenario(&format!(
            "{LEARNED_BY_THE_OLDEST}coordinator silent\nlaunch\nwait {pause}\nkill newer\n\
            call GET /ready 200\nfigure targets 2\n{}term\nended\ncounter open 0",
            loads("a", 2)
        ));
    }
}
