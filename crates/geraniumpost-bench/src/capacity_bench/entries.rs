use std::time::Duration;

use eyre::Result;
use geraniumpost_harness::EntryVm;
use tokio::time::sleep;

use super::deployment::Deployment;
use super::fit::Fit;
use super::light_entries::LightEntries;
use super::{AGENTS, ENTRIES, slopes_header};

/// Minimum duration of a measurement, because only every tenth beat contains the whole list of
/// entries.
const MIN_DURATION: Duration = Duration::from_secs(10);
/// Numbers of light entries in addition to the real ones.
const COUNTS: [usize; 4] = [2, 6, 14, 22];
/// Number of entries to which the figures are extrapolated: two for each of 8 failure domains.
const TARGET_ENTRIES: f64 = 16.0;
/// Time within which real agents and entries discover new entries.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Measures the beats between entries and the heartbeats of real agents by the number of entries.
pub async fn run(deployment: &Deployment, time: Duration) -> Result<()> {
    let time = time.max(MIN_DURATION);
    println!("\n## Beats of real entries and heartbeats of real agents, heard by light entries\n");
    println!(
        "| entries | beat B | B out/s of one entry | heartbeat B | heartbeats/s of one agent \
         | B out/s of one agent |\n|{}",
        " --- |".repeat(6)
    );
    let datagrams = deployment.fleet().entries().iter().map(EntryVm::datagrams).collect();
    let mut light = LightEntries::new(datagrams);
    let (mut lengths, mut agents) = (Vec::new(), Vec::new());
    for count in COUNTS {
        light.grow_to(count).await?;
        sleep(DISCOVERY_TIME).await;
        let before = light.received();
        let (rates, ()) = deployment.measure(sleep(time)).await?;
        let after = light.received();
        let beats = (after.0 - before.0) / rates.seconds;
        let heartbeats = (after.1 - before.1) / rates.seconds;
        let all = (count + ENTRIES) as f64;
        // A real entry sends its beats to every other entry; light entries receive all of them
        // except those to the other real entry.
        let to_one = beats.bytes / (ENTRIES * count) as f64;
        let agent = heartbeats / (AGENTS * count) as f64;
        println!(
            "| {all:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.0} |",
            beats.bytes / beats.count,
            to_one * (all - 1.0),
            agent.bytes / agent.count,
            agent.count * all,
            agent.bytes * all
        );
        lengths.push((all, to_one));
        agents.push((all, agent.bytes * all));
    }
    println!("{}", slopes_header("entry", "16 entries"));
    println!(
        "{}",
        Fit::new(&lengths).row("beats, B/s from one entry to one other", TARGET_ENTRIES)
    );
    println!("{}", Fit::new(&agents).row("heartbeats, B/s of one agent", TARGET_ENTRIES));
    Ok(())
}
