import { ValueHistory } from "./value_history.ts";

const LARGE_BYTES = 3_000_000;

function item(key: string, revision: number, sizeBytes = LARGE_BYTES) {
  const value = new Uint8Array(sizeBytes).fill(revision);
  // Values that differ in one byte only, so that a patch is worth sending.
  value.fill(7, 1);
  return { key, revision, value };
}

describe("the earlier values of items", () => {
  it("take a bounded number of bytes", () => {
    const history = new ValueHistory();
    for (const key of ["a", "b", "c", "d"]) history.add(item(key, 1));
    const known = ["a", "b", "c", "d"].filter((key) =>
      history.patchSince(item(key, 2), 1)
    );
    expect(known).toEqual(["c", "d"]);
  });

  it("are those of the latest changes", () => {
    const history = new ValueHistory();
    for (let revision = 1; revision <= 6; revision++) {
      history.add(item("a", revision, 10_000));
    }
    const bases = [1, 2, 3, 4, 5, 6].map((since) =>
      history.patchSince(item("a", 7, 10_000), since)?.baseRevision
    );
    expect(bases).toEqual([undefined, undefined, 3, 4, 5, 6]);
  });

  it("are not kept of small items, nor of removed ones", () => {
    const history = new ValueHistory();
    history.add(item("small", 1, 1_000));
    history.add(item("removed", 1, 10_000));
    history.remove("removed");
    expect(history.patchSince(item("small", 2, 1_000), 1)).toBeUndefined();
    expect(history.patchSince(item("removed", 2, 10_000), 1)).toBeUndefined();
  });

  it("are not used where the difference is nearly as large as the value", () => {
    const history = new ValueHistory();
    history.add(item("a", 1, 10_000));
    const value = Uint8Array.from(
      { length: 10_000 },
      (_, index) => (index * 7_919) % 251,
    );
    const next = { key: "a", revision: 2, value };
    expect(history.patchSince(next, 1)).toBeUndefined();
  });
});
