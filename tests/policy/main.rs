//! Tests of the decision module through its public interface, one behavior each.
mod admission;
mod blocked_queries;
mod capacity_share;
#[path = "../common/mod.rs"]
mod common;
mod endpoint_list;
mod outlier_detection;
mod retries;
mod robustness;
mod stall_detection;
