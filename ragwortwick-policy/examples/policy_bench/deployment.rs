//! The two deployments: zone, table and load.

use ragwortwick_border::{CustomerRow, PolicyWeights, Table};
use ragwortwick_core::CustomerName;

use crate::fake_zone::tables::{class, guarantee};

/// `ClassLoad` is how jobs of one class arrive.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    pub customer: &'static str,
    pub class: &'static str,
    pub is_urgent: bool,
    pub gap_ms: f64,
    pub run_ms: f64,
    pub deadline_ms: f64,
    pub shapes: Vec<(u32, u32)>,
}

/// `Deployment` is a zone of 50 workers with its customers.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub racks: Vec<Vec<u32>>,
    pub table: Table,
    pub loads: Vec<ClassLoad>,
}

const MINUTE_MS: f64 = 60_000.0;

/// Brings the load to about two thirds of the zone, bursts not counted.
const GAP_FACTOR: f64 = 1.4;

pub fn deployment(name: &str) -> Option<Deployment> {
    let mut racks = vec![vec![8; 8]; 6];
    racks.push(vec![8; 2]);
    match name {
        "padana" => Some(Deployment {
            racks,
            table: table(PADANA, 3.0, 1.0),
            loads: loads(PADANA),
        }),
        "almaty" => Some(Deployment {
            racks,
            table: table(ALMATY, 1.0, 3.0),
            loads: loads(ALMATY),
        }),
        _ => None,
    }
}

/// `Row` is a class: customer, class, urgent, weight, gap and run time in minutes, shapes.
type Row = (
    &'static str,
    &'static str,
    bool,
    f64,
    f64,
    f64,
    &'static [(u32, u32)],
);

struct Setup {
    guarantees: &'static [(&'static str, u32, u32)],
    rows: &'static [Row],
}

const PADANA: &Setup = &Setup {
    guarantees: &[
        ("flood", 2, 16),
        ("institute", 2, 32),
        ("stations", 2, 32),
        ("satellites", 4, 8),
    ],
    rows: &[
        (
            "flood",
            "pass-plan",
            true,
            3.0,
            4.0,
            3.0,
            &[(1, 8), (1, 4), (1, 2)],
        ),
        (
            "flood",
            "refinement",
            false,
            1.0,
            8.0,
            15.0,
            &[(1, 8), (1, 16), (2, 4)],
        ),
        (
            "institute",
            "refinement",
            false,
            1.0,
            5.0,
            20.0,
            &[(1, 4), (2, 8), (1, 2), (1, 1)],
        ),
        (
            "institute",
            "survey",
            false,
            1.0,
            30.0,
            60.0,
            &[(1, 32), (2, 16), (2, 32)],
        ),
        (
            "stations",
            "conflict",
            true,
            3.0,
            6.0,
            2.0,
            &[(1, 4), (1, 8)],
        ),
        (
            "stations",
            "survey",
            false,
            1.0,
            15.0,
            50.0,
            &[(1, 32), (1, 16), (4, 8)],
        ),
        (
            "satellites",
            "refinement",
            false,
            1.0,
            3.0,
            15.0,
            &[(1, 1), (1, 2), (1, 8), (2, 8)],
        ),
    ],
};

const ALMATY: &Setup = &Setup {
    guarantees: &[
        ("farms", 4, 8),
        ("mills", 2, 32),
        ("ration", 2, 32),
        ("university", 2, 16),
    ],
    rows: &[
        (
            "farms",
            "quote",
            true,
            5.0,
            3.0,
            2.0,
            &[(1, 2), (1, 4), (1, 8)],
        ),
        (
            "farms",
            "ration-plan",
            false,
            2.0,
            6.0,
            20.0,
            &[(1, 8), (2, 4), (1, 2)],
        ),
        (
            "mills",
            "recheck",
            false,
            0.5,
            15.0,
            60.0,
            &[(1, 32), (2, 16), (1, 16)],
        ),
        ("mills", "quote", true, 5.0, 8.0, 3.0, &[(1, 4), (1, 8)]),
        (
            "ration",
            "ration-plan",
            false,
            2.0,
            25.0,
            70.0,
            &[(1, 32), (2, 32), (4, 8)],
        ),
        (
            "ration",
            "small-plan",
            false,
            2.0,
            4.0,
            20.0,
            &[(1, 1), (1, 2), (1, 4)],
        ),
        (
            "university",
            "survey",
            false,
            1.0,
            5.0,
            25.0,
            &[(1, 8), (1, 16), (1, 1), (2, 4)],
        ),
    ],
};

fn table(setup: &Setup, completion: f64, fragmentation: f64) -> Table {
    let mut customers: Vec<&str> = setup.guarantees.iter().map(|row| row.0).collect();
    customers.dedup();
    let classes = setup.rows.iter().map(|row| {
        let mut class = class(row.0, row.1);
        class.urgent = row.2;
        class.weight = row.3;
        class.worth = row.3;
        class
    });
    Table {
        classes: classes.collect(),
        customers: customers
            .into_iter()
            .map(|customer| CustomerRow {
                customer: CustomerName::new(customer),
                max_queued_jobs: 10_000,
                weight: 1.0,
            })
            .collect(),
        guarantees: setup
            .guarantees
            .iter()
            .map(|row| guarantee(row.0, row.1, row.2))
            .collect(),
        weights: PolicyWeights {
            completion,
            fragmentation,
        },
    }
}

fn loads(setup: &Setup) -> Vec<ClassLoad> {
    let load = |row: &Row| ClassLoad {
        customer: row.0,
        class: row.1,
        is_urgent: row.2,
        gap_ms: row.4 * MINUTE_MS * GAP_FACTOR,
        run_ms: row.5 * MINUTE_MS,
        deadline_ms: (row.5 * 4.0 + 10.0) * MINUTE_MS,
        shapes: row.6.to_vec(),
    };
    setup.rows.iter().map(load).collect()
}
