import { createReportPage } from "./report_page.ts";
import { createBenchReport } from "./report_plots.ts";
import { formatBar, formatTable } from "./text_table.ts";

describe("createBenchReport", () => {
  it("draws a bar per row, labeled with its text fields", () => {
    const { plots } = createBenchReport("t", [
      { variant: "a", stallMs: 3 },
      { variant: "b", stallMs: 1 },
    ]);
    expect(plots).toEqual([{
      title: "stallMs",
      kind: "bar",
      labels: ["a", "b"],
      lines: [{ label: "stallMs", values: [3, 1] }],
    }]);
  });

  it("draws lines over a field with increasing values", () => {
    const rows = [1, 2, 4, 8, 16].map((members, index) => ({
      load: index % 2,
      members,
    }));
    const { plots } = createBenchReport("t", rows);
    expect(plots).toHaveLength(1);
    expect(plots[0]).toMatchObject({
      kind: "line",
      title: "load by members",
      labels: [1, 2, 4, 8, 16],
    });
  });

  it("creates a page that escapes its contents and has no external resources", () => {
    const page = createBenchReport("<b>", [{ name: "</script><i>", n: 1 }]);
    const html = createReportPage(page, "var x = '</script>';");
    expect(html.match(/<\/script>/g)).toHaveLength(3);
    expect(html).not.toContain("<i>");
    expect(html).not.toMatch(/(src|href)=/);
  });
});

describe("formatTable and formatBar", () => {
  it("aligns columns and draws bars with a resolution of an eighth", () => {
    expect(formatTable([["class", "n"], ["a", "100"]]))
      .toEqual(["class    n", "a      100"]);
    expect(formatBar(1, 4)).toBe("████");
    expect(formatBar(0.5, 3)).toBe("█▌");
    expect(formatBar(0, 3)).toBe("");
  });
});
