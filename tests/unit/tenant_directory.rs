//! The tenant directory without sockets: the framing of LDAP messages, the order of a read, and the
//! application of a snapshot.
use super::*;
use crate::config::clickhouse::DirectoryConfig;
use rasn::types::SetOf;
use rasn_ldap::{
    BindResponse, LdapMessage, LdapResult, PartialAttribute, ProtocolOp, ResultCode,
    SearchResultDone, SearchResultEntry,
};

/// A configuration that sets only the fields without a default.
fn config() -> DirectoryConfig {
    toml::from_str(
        r#"
        addr = "127.0.0.1:389"
        users_base = "ou=people"
        tenants_base = "ou=tenants"
        "#,
    )
    .expect("a configuration")
}

fn encode(id: u32, operation: ProtocolOp) -> Vec<u8> {
    rasn::ber::encode(&LdapMessage::new(id, operation)).expect("a message")
}

fn bind_response(id: u32, code: ResultCode) -> Vec<u8> {
    let response = BindResponse::new(code, "".into(), "as you like".into(), None, None);
    encode(id, ProtocolOp::BindResponse(response))
}

fn entry(id: u32, attributes: &[(&str, &str)]) -> Vec<u8> {
    let attributes = attributes
        .iter()
        .map(|(name, value)| {
            let values = SetOf::from(vec![value.as_bytes().to_vec().into()]);
            PartialAttribute::new((*name).into(), values)
        })
        .collect();
    let entry = SearchResultEntry::new("cn=entry".into(), attributes);
    encode(id, ProtocolOp::SearchResEntry(entry))
}

fn search_done(id: u32) -> Vec<u8> {
    let result = LdapResult::new(ResultCode::Success, "".into(), "".into());
    encode(id, ProtocolOp::SearchResDone(SearchResultDone(result)))
}

fn complete_exchange() -> Vec<u8> {
    [
        bind_response(1, ResultCode::Success),
        entry(2, &[("ou", "billing"), ("description", " 3 ")]),
        entry(2, &[("ou", "without a share")]),
        search_done(2),
        entry(3, &[("uid", "ann"), ("departmentNumber", "billing")]),
        search_done(3),
    ]
    .concat()
}

#[test]
fn the_length_of_a_message_is_known_once_its_header_is_complete() {
    assert!(matches!(message_length(&[0x30]), Ok(None)));
    assert!(matches!(message_length(&[0x30, 0x05]), Ok(Some(7))));
    assert!(matches!(message_length(&[0x30, 0x82, 0x01]), Ok(None)));
    assert!(matches!(
        message_length(&[0x30, 0x82, 0x01, 0x00]),
        Ok(Some(260))
    ));
}

#[test]
fn invalid_input_is_rejected_with_its_cause() {
    assert!(matches!(
        message_length(b"HTTP"),
        Err(ReadError::InvalidTag { tag: b'H' })
    ));
    assert!(matches!(
        message_length(&[0x30, 0x80]),
        Err(ReadError::InvalidLength { octet: 0x80 })
    ));
    assert!(matches!(
        message_length(&[0x30, 0x85]),
        Err(ReadError::InvalidLength { octet: 0x85 })
    ));
    assert!(matches!(
        message_length(&[0x30, 0x83, 0xff, 0xff, 0xff]),
        Err(ReadError::MessageTooLong { .. })
    ));
}

#[test]
fn a_read_yields_tenants_and_users_however_the_input_is_divided() {
    let exchange = complete_exchange();
    for step in 1..=exchange.len() {
        let (mut read, _bind) = DirectoryRead::new(config());

        let snapshots: Vec<DirectorySnapshot> = exchange
            .chunks(step)
            .filter_map(|piece| read.feed(piece).expect("a valid exchange").snapshot)
            .collect();

        let expected = DirectorySnapshot {
            tenants: vec![DirectoryTenant {
                name: "billing".into(),
                share: 3.0,
            }],
            users: vec![DirectoryUser {
                name: "ann".into(),
                key: String::new(),
                tenant: Some("billing".into()),
            }],
        };
        assert_eq!(snapshots, [expected]);
    }
}

#[test]
fn a_rejected_bind_ends_the_read_with_the_directorys_diagnostic_message() {
    let (mut read, _bind) = DirectoryRead::new(config());

    let error = read
        .feed(&bind_response(1, ResultCode::InvalidCredentials))
        .err()
        .expect("an error");

    assert_eq!(
        error.to_string(),
        "the directory rejected a request: InvalidCredentials as you like"
    );
}

#[test]
fn a_message_of_another_request_ends_the_read() {
    let (mut read, _bind) = DirectoryRead::new(config());

    let result = read.feed(&bind_response(2, ResultCode::Success));

    assert!(matches!(
        result.err(),
        Some(ReadError::WrongMessageId {
            expected: 1,
            found: 2
        })
    ));
}

#[test]
fn a_snapshot_divides_the_total_quota_by_the_tenants_shares() {
    let tenant = |name: &str, share| DirectoryTenant {
        name: name.to_owned(),
        share,
    };
    let snapshot = DirectorySnapshot {
        tenants: vec![tenant("known", 1.0), tenant("new", 3.0)],
        users: vec![DirectoryUser {
            name: "ann".into(),
            key: "secret".into(),
            tenant: Some("new".into()),
        }],
    };
    let mut tenants = Tenants {
        names: vec!["known".into()],
        specs: vec![TenantSpec {
            quota_per_s: 8.0,
            share: 1.0,
        }],
    };
    let mut users = Users::default();

    snapshot.apply(&mut tenants, &mut users);

    let quotas: Vec<f64> = tenants.specs.iter().map(|spec| spec.quota_per_s).collect();
    assert_eq!(tenants.names, ["known", "new"]);
    assert_eq!(quotas, [2.0, 6.0]);
    assert_eq!(users.find("ann", "secret"), Some(Some(TenantId(1))));
}
