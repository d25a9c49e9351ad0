//! The fleet file: defaults, parsed keys, and the error line for each reason to reject the file.
use super::{FleetConfig, FleetConfigError};
use crate::membership::{Timing, TimingError};
use std::error::Error;
use std::net::SocketAddr;

/// The error of a file that has to be rejected.
fn rejection(text: &str) -> FleetConfigError {
    FleetConfig::parse(text).expect_err("a file that is rejected")
}

#[test]
fn an_empty_file_gives_the_defaults() {
    let config = FleetConfig::parse("").expect("the empty file is valid");
    let listen = SocketAddr::from(([127, 0, 0, 1], 8080));

    assert_eq!(
        config.bind(listen),
        SocketAddr::from(([127, 0, 0, 1], 7946))
    );
    assert_eq!(config.timing, Timing::default());
    assert_eq!(config.advertise, None);
    assert!(config.seeds.is_empty() && config.audit.is_none() && config.leases.is_none());
}

#[test]
fn the_keys_of_the_file_are_read() {
    let config = FleetConfig::parse(
        "bind = \"127.0.0.1:1\"\nadvertise = \"127.0.0.1:2\"\nport = 3\n\
         seeds = [\"127.0.0.1:4\"]\n\
         [timing]\nperiod_ms = 5\nprobe_ms = 4\nindirect = 6\nsuspicion_periods = 7\n\
         retransmit = 8\ndatagram = 900\ngrace_ms = 10\n\
         [duties]\nvoters = [\"m0\"]\n[duties.terms]\nterm_ms = 1000\n[audit]\nsegments = 12\n",
    )
    .expect("the file is valid");

    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    assert_eq!(config.bind, Some(addr(1)));
    assert_eq!(config.advertise, Some(addr(2)));
    assert_eq!((config.port, config.seeds), (3, vec![addr(4)]));
    let timing = Timing {
        period_ms: 5,
        probe_ms: 4,
        indirect_probes: 6,
        suspicion_periods: 7,
        retransmissions: 8,
        max_datagram_bytes: 900,
        grace_ms: 10,
    };
    assert_eq!(config.timing, timing);
    assert_eq!(config.leases.expect("the file has leases").voters, ["m0"]);
    assert!(config.audit.is_some());
}

#[test]
fn each_rejection_names_its_cause_to_the_operator() {
    let cases = [
        (
            "[timing]\nprobe_ms = 0\n",
            "fleet: probe_ms has to be above 0 and below period_ms",
        ),
        (
            "[timing]\nprobe_ms = 500\n",
            "fleet: probe_ms has to be above 0 and below period_ms",
        ),
        (
            "[timing]\ndatagram = 255\n",
            "fleet: datagram has to be from 256 to 65000 bytes",
        ),
        (
            "[timing]\nretransmit = 0\n",
            "fleet: suspicion_periods and retransmit have to be above 0",
        ),
        (
            "[audit]\nsegments = 1\n",
            "fleet: audit: segments has to be from 2 to 10000, not 1",
        ),
        (
            "[duties]\nvoters = [\"m0\", \"m0\"]\n",
            "fleet: duties: voters have to be 1 to 15 managers, each named once",
        ),
        (
            "[duties]\nvoters = [\"m0\"]\n[duties.terms]\nterm_ms = 0\n",
            "fleet: duties: term_ms has to be 1 to 600000, not 0",
        ),
        (
            "seeds = [\"[::1]:7946\"]\n",
            "fleet: bind, advertise and seeds have to be IPv4 addresses, not [::1]:7946",
        ),
    ];
    for (text, line) in cases {
        assert_eq!(rejection(text).to_string(), line, "{text}");
    }
}

#[test]
fn an_unknown_key_is_rejected_with_the_parsers_error_as_source() {
    let error = rejection("sedes = []\n");

    assert!(matches!(error, FleetConfigError::Syntax(_)));
    assert!(
        error
            .to_string()
            .starts_with("fleet: unknown field `sedes`"),
        "{error}"
    );
    assert!(error.source().is_some());
}

#[test]
fn a_rejected_timing_carries_the_fields_and_values() {
    let error = rejection("[timing]\nperiod_ms = 100\nprobe_ms = 100\n");

    let FleetConfigError::Timing(cause) = error else {
        panic!("another cause: {error}");
    };
    assert_eq!(
        cause,
        TimingError::ProbeOutsidePeriod {
            probe_ms: 100,
            period_ms: 100
        }
    );
}
