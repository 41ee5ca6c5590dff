/// The load that a best-effort image puts on its minion at full speed.
#[derive(Debug, Clone, PartialEq)]
pub struct FullSpeedLoad {
    /// Processor use of the image, in thousandths of a processor.
    pub milli_cpus: f64,
    /// Utilization that the image adds to each serving group of the minion, in the order of the
    /// groups' headroom.
    pub added_utilization: Vec<f64>,
}

/// Returns the share of its full speed, from 0 to 1, at which each best-effort image may run, such
/// that the images together add at most `headroom` to the utilization of each serving group.
///
/// The image that adds the most utilization per processor is slowed down first, which costs the
/// least work. A limit that is set for one group also applies to all following groups.
pub fn speed_limits(headroom: &[f64], loads: &[FullSpeedLoad]) -> Vec<f64> {
    let mut shares = vec![1.0; loads.len()];
    for (group, headroom) in headroom.iter().enumerate() {
        let added =
            |index: usize, shares: &[f64]| loads[index].added_utilization[group] * shares[index];
        let mut excess: f64 =
            (0..loads.len()).map(|index| added(index, &shares)).sum::<f64>() - headroom;
        let by_cost =
            |index: usize| loads[index].added_utilization[group] / loads[index].milli_cpus.max(1.0);
        let mut order: Vec<usize> = (0..loads.len()).collect();
        order.sort_by(|a, b| by_cost(*b).total_cmp(&by_cost(*a)));
        for index in order {
            let added = loads[index].added_utilization[group];
            if excess <= 0.0 || added <= 0.0 {
                break;
            }
            let reduction = (excess / added).min(shares[index]);
            shares[index] -= reduction;
            excess -= reduction * added;
        }
    }
    shares
}
