import { leftOf, rightOf } from "../../base/common/result.ts";
import { diffDocuments, formatDifference } from "./document_diff.ts";
import { getInDocument, setInDocument } from "./document_edit.ts";

const TEXT = `# wraps first
classes:
  concept: { priority: 3 } # patient
  caption:
    priority: 7
routes:
  - { kind: call, prefix: /proofs, classes: [caption] }
`;

describe("setInDocument and getInDocument", () => {
  it("changes a scalar and preserves comments and all other text", () => {
    const edited = setInDocument(TEXT, ["classes", "caption", "priority"], "8");
    expect(rightOf(edited)).toBe(TEXT.replace("priority: 7", "priority: 8"));
  });

  it("adds values and changes values in list items", () => {
    const path = ["routes", "0", "prefix"];
    expect(rightOf(setInDocument(TEXT, path, "/proof"))).toContain(
      "prefix: /proof,",
    );
    const added = setInDocument(TEXT, ["classes", "new"], "{ priority: 1 }");
    expect(rightOf(added)).toContain("new: { priority: 1 }");
  });

  it("rejects a value that is not valid YAML", () => {
    expect(leftOf(setInDocument(TEXT, ["classes", "new"], "[1"))).toBeDefined();
  });

  it("rejects a path that leads through a scalar", () => {
    const path = ["classes", "caption", "priority", "x"];
    expect(leftOf(setInDocument(TEXT, path, "1"))).toBeDefined();
  });

  it("returns a part as text and value", () => {
    const part = rightOf(getInDocument(TEXT, ["classes", "caption"]));
    expect(part?.value).toEqual({ priority: 7 });
    expect(part?.text).toBe("priority: 7\n");
    expect(leftOf(getInDocument(TEXT, ["nowhere"]))).toBeDefined();
  });
});

describe("diffDocuments", () => {
  it("lists each changed path with its values", () => {
    const before = { a: { b: 1, gone: true }, list: [1, 2] };
    const after = { a: { b: 2, more: "x" }, list: [1, 2] };
    expect(diffDocuments(before, after).map(formatDifference)).toEqual([
      "~ a/b: 1 -> 2",
      "- a/gone: true",
      `+ a/more: "x"`,
    ]);
  });
});
