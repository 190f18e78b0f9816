import { createReportPage } from "./report_page.ts";
import { createBenchReport } from "./report_plots.ts";
import { formatBar, formatTable } from "./text_table.ts";

describe("a report of bench rows", () => {
  it("draws a bar for each row, labelled by its texts", () => {
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

  it("draws lines over a field that rises", () => {
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

  it("makes a page that cannot be broken out of and loads nothing", () => {
    const page = createBenchReport("<b>", [{ name: "</script><i>", n: 1 }]);
    const html = createReportPage(page, "var x = '</script>';");
    expect(html.match(/<\/script>/g)).toHaveLength(3);
    expect(html).not.toContain("<i>");
    expect(html).not.toMatch(/(src|href)=/);
  });
});

describe("text for a terminal", () => {
  it("aligns columns and draws bars by eighths", () => {
    expect(formatTable([["class", "n"], ["a", "100"]]))
      .toEqual(["class    n", "a      100"]);
    expect(formatBar(1, 4)).toBe("████");
    expect(formatBar(0.5, 3)).toBe("█▌");
    expect(formatBar(0, 3)).toBe("");
  });
});
