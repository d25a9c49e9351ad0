//! Service discovery: the watch of the coordinator and the list of endpoints.
pub mod coordinator;
pub mod endpoint_list;
