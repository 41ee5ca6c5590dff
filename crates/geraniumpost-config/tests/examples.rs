//! Checks that the example files of both deployments are valid and consistent with each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use geraniumpost_config::{
    AnyFile, check_entry_membership, check_membership, load_any, token_digest,
};
use geraniumpost_schema::{AgentSettings, Document, EntrySettings};

/// All files of one deployment.
struct Deployment {
    entries: Vec<EntrySettings>,
    agents: Vec<AgentSettings>,
    document: Document,
}

fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn load(name: &str) -> Deployment {
    let (mut entries, mut agents, mut documents) = (Vec::new(), Vec::new(), Vec::new());
    for file in std::fs::read_dir(directory(name)).unwrap() {
        match load_any(&file.unwrap().path()) {
            Ok(AnyFile::Entry(settings)) => entries.push(settings),
            Ok(AnyFile::Agent(settings)) => agents.push(settings),
            Ok(AnyFile::Document(document)) => documents.push(document),
            Err(report) => panic!("{report}"),
        }
    }
    assert_eq!(documents.len(), 1);
    Deployment { entries, agents, document: documents.remove(0) }
}

/// Defines one test per example: its directory, number of failure domains and service.
macro_rules! deployments {
    ($($name:ident: $directory:literal, $domains:literal, $service:literal;)*) => {
        $(#[test]
        fn $name() {
            let deployment = load($directory);
            assert_eq!(deployment.document.domains.len(), $domains);
            assert_eq!(deployment.entries.len(), $domains, "one entry in each domain");
            assert_eq!(deployment.agents.len(), $domains, "one agent in each domain");
            assert_consistent(&deployment, $service);
        })*
    };
}

deployments! {
    espectro_andino_is_consistent: "espectro-andino", 4, "filing";
    sarkar_is_consistent: "sarkar", 3, "kiosk";
}

fn assert_consistent(deployment: &Deployment, service: &str) {
    let Deployment { entries, agents, document } = deployment;
    let datagram_addresses: BTreeSet<SocketAddr> =
        entries.iter().map(|entry| entry.datagrams).collect();
    assert_eq!(datagram_addresses.len(), entries.len(), "two entries share an address");
    for entry in entries {
        check_entry_membership(entry, document).unwrap();
        let mut known: BTreeSet<SocketAddr> = entry.peers.iter().copied().collect();
        known.insert(entry.datagrams);
        assert_eq!(known, datagram_addresses, "{} does not know all entries", entry.name);
    }
    for agent in agents {
        check_membership(agent, document).unwrap();
        assert_eq!(agent.service.as_deref(), Some(service));
        assert!(
            agent.entries.iter().all(|entry| datagram_addresses.contains(entry)),
            "{}",
            agent.name
        );
    }
    let keys: BTreeSet<&str> = entries.iter().map(|entry| entry.shared_key.as_str()).collect();
    assert_eq!(keys.len(), 1);
    assert!(keys.iter().all(|key| key.starts_with("replace-me")));
    for (name, customer) in &document.customers {
        assert_eq!(*customer.token_sha256, token_digest(&format!("example token of {name}")));
    }
    let service = &document.services[service];
    assert_eq!((service.slots, service.connections), (8, 64), "the sizes of the users' minions");
}
