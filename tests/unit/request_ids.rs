//! Request ids differ within a process, and between processes that differ in any one of seed,
//! process id and start.
use super::{ProcessIdentity, RequestIds};
use std::collections::BTreeSet;

const IDS_PER_PROCESS: usize = 10_000;

/// Guards clients against results of statements that another process sent under the same id.
#[test]
fn processes_that_differ_in_one_part_of_their_identity_share_no_id() {
    let older = ProcessIdentity {
        seed: 0x8c1f_30d2_7a5b_e964,
        process: 4_711,
        incarnation: 1_700_000_000_000_000,
    };
    let identities = [
        older,
        ProcessIdentity {
            process: 4_712,
            ..older
        },
        ProcessIdentity {
            incarnation: older.incarnation + 1,
            ..older
        },
        ProcessIdentity {
            seed: older.seed + 1,
            ..older
        },
    ];
    let mut ids = BTreeSet::new();
    for identity in identities {
        let request_ids = RequestIds::new(identity);
        for _ in 0..IDS_PER_PROCESS {
            let id = request_ids.next();
            assert!(id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit()));
            assert!(ids.insert(id));
        }
    }
}
