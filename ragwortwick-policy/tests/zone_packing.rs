//! Checks that the packing of guarantees agrees with a brute-force packer on small zones.

use ragwortwick_border::{GuaranteeRow, PolicyWeights, Shape, Table};
use ragwortwick_core::{CustomerName, ZoneName};
use ragwortwick_policy::{RackCapacity, ZoneCapacity, check_guarantees_pack};

fn table_of(rows: &[(u32, u32)]) -> Table {
    let guarantees = rows
        .iter()
        .map(|(cells, cell_accelerators)| GuaranteeRow {
            customer: CustomerName::new("c"),
            zone: ZoneName::new("z"),
            shape: Shape {
                cells: *cells,
                cell_accelerators: *cell_accelerators,
            },
        })
        .collect();
    Table {
        customers: Vec::new(),
        guarantees,
        classes: Vec::new(),
        weights: PolicyWeights {
            completion: 1.0,
            fragmentation: 1.0,
        },
    }
}

fn capacity_of(racks: &[Vec<u32>]) -> ZoneCapacity {
    let racks = racks
        .iter()
        .map(|workers| RackCapacity {
            worker_accelerators: workers.clone(),
        })
        .collect();
    ZoneCapacity {
        zones: [(ZoneName::new("z"), racks)].into(),
    }
}

/// Tries every position for every cell.
fn brute_force(racks: &mut Vec<Vec<u32>>, cells: &[u32]) -> bool {
    let Some((size, rest)) = cells.split_first() else {
        return true;
    };
    for rack in 0..racks.len() {
        if *size > 8 {
            let need = (*size / 8) as usize;
            let whole: Vec<usize> = (0..racks[rack].len())
                .filter(|worker| racks[rack][*worker] & 0xff == 0xff)
                .collect();
            if whole.len() < need {
                continue;
            }
            let before = racks[rack].clone();
            whole[..need].iter().for_each(|w| racks[rack][*w] = 0);
            if brute_force(racks, rest) {
                return true;
            }
            racks[rack] = before;
            continue;
        }
        for worker in 0..racks[rack].len() {
            for start in (0..8).step_by(*size as usize) {
                let mask = ((1u32 << size) - 1) << start;
                if racks[rack][worker] & mask == mask {
                    racks[rack][worker] &= !mask;
                    if brute_force(racks, rest) {
                        return true;
                    }
                    racks[rack][worker] |= mask;
                }
            }
        }
    }
    false
}

#[test]
fn verify_packing_agrees_with_brute_force() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over owned values"
    )]
    fn agrees(workers: Vec<u8>, wanted: Vec<u8>) -> bool {
        let mut racks = vec![Vec::new(), Vec::new()];
        for (index, worker) in workers.iter().take(4).enumerate() {
            racks[index % 2].push([8, 4, 8, 2][usize::from(worker % 4)]);
        }
        let rows: Vec<(u32, u32)> = wanted
            .iter()
            .take(5)
            .map(|size| (1, [1, 2, 4, 8, 16][usize::from(size % 5)]))
            .collect();
        let cells: Vec<u32> = rows.iter().map(|(_, size)| *size).collect();
        let mut masks = racks
            .iter()
            .map(|rack| rack.iter().map(|count| (1u32 << count) - 1).collect())
            .collect();
        let packs = check_guarantees_pack(&table_of(&rows), &capacity_of(&racks)).is_empty();
        packs == brute_force(&mut masks, &cells)
    }
    quickcheck::QuickCheck::new()
        .tests(300)
        .quickcheck(agrees as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn verify_row_that_does_not_pack_is_named() {
    // 24 accelerators are free in total, but no rack holds four whole workers.
    let capacity = capacity_of(&[vec![8, 8], vec![8]]);
    let problems = check_guarantees_pack(&table_of(&[(1, 8), (1, 32), (1, 16)]), &capacity);
    assert_eq!(problems.len(), 1);
    assert_eq!((problems[0].row, problems[0].column.as_str()), (2, "shape"));
}
