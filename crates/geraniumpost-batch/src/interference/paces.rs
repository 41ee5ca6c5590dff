/// What one filling image would do to the serving groups of its minion at full speed.
#[derive(Debug, Clone, PartialEq)]
pub struct Pressure {
    /// Processors that it would use.
    pub processors: f64,
    /// What it would add to the utilization of each group.
    pub added_utilization: Vec<f64>,
}

/// Returns the share of its speed, from 0 to 1, that each filling image may work at, so that it adds no more
/// to any group than `room` says.
///
/// The image that adds most for its processors yields first: that costs the least work. What it yields
/// for one group counts for the next.
pub fn speed_limits(room: &[f64], pressures: &[Pressure]) -> Vec<f64> {
    let mut shares = vec![1.0; pressures.len()];
    for (group, room) in room.iter().enumerate() {
        let added = |at: usize, shares: &[f64]| pressures[at].added_utilization[group] * shares[at];
        let mut over: f64 = (0..pressures.len()).map(|at| added(at, &shares)).sum::<f64>() - room;
        let by_cost =
            |at: usize| pressures[at].added_utilization[group] / pressures[at].processors.max(1.0);
        let mut order: Vec<usize> = (0..pressures.len()).collect();
        order.sort_by(|a, b| by_cost(*b).total_cmp(&by_cost(*a)));
        for at in order {
            let adds = pressures[at].added_utilization[group];
            if over <= 0.0 || adds <= 0.0 {
                break;
            }
            let yields = (over / adds).min(shares[at]);
            shares[at] -= yields;
            over -= yields * adds;
        }
    }
    shares
}
