/** One HTML page with plots that needs nothing from the network. */

/** One plot, in the form of a chart.js configuration. */
export interface ReportPlot {
  readonly title: string;
  readonly kind: "bar" | "line";
  /** Names of the bars, or where the points of a line stand. */
  readonly labels: readonly (string | number)[];
  readonly lines: readonly {
    readonly label: string;
    readonly values: readonly (number | null)[];
  }[];
  readonly isStacked?: boolean;
}

/** What stands on the page. */
export interface ReportPage {
  readonly title: string;
  readonly plots: readonly ReportPlot[];
  /** Rows of the table under the plots, the heads first. */
  readonly table: readonly (readonly string[])[];
}

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem; color: #222; }
main { display: grid; gap: 2rem;
  grid-template-columns: repeat(auto-fill, minmax(26rem, 1fr)); }
figure { margin: 0; height: 20rem; position: relative; }
section { overflow-x: auto; margin-top: 2rem; }
table { border-collapse: collapse; font-size: 13px; }
td, th { border-bottom: 1px solid #ddd; padding: 0.25rem 0.75rem;
  text-align: right; white-space: nowrap; }
td:first-child, th:first-child { text-align: left; }
`;

const DRAW_SCRIPT = `
const plots = JSON.parse(document.getElementById("plots").textContent);
plots.forEach((plot, index) => {
  const stacked = plot.isStacked === true;
  const isLine = plot.kind === "line";
  new Chart(document.getElementById("plot-" + index), {
    type: plot.kind,
    data: {
      labels: plot.labels,
      datasets: plot.lines.map(({ label, values }) => ({
        label,
        data: isLine
          ? values.map((y, row) => ({ x: plot.labels[row], y }))
          : values,
      })),
    },
    options: {
      animation: false,
      maintainAspectRatio: false,
      scales: {
        x: { stacked, type: isLine ? "linear" : "category" },
        y: { stacked, beginAtZero: true },
      },
      plugins: {
        title: { display: true, text: plot.title },
        legend: { display: plot.lines.length > 1 },
      },
    },
  });
});
document.body.dataset.plots = String(plots.length);
`;

/**
 * @param page - What stands on the page.
 * @param chartScript - Text of the chart library, put into the page.
 * @returns The page.
 */
export function createReportPage(
  { title, plots, table }: ReportPage,
  chartScript: string,
): string {
  const canvases = plots.map((_, index) =>
    `<figure><canvas id="plot-${index}"></canvas></figure>`
  );
  const data = JSON.stringify(plots).replaceAll("<", "\\u003c");
  return [
    "<!doctype html>",
    `<html lang="en"><head><meta charset="utf-8">`,
    `<title>${escapeHtml(title)}</title><style>${STYLE}</style></head><body>`,
    `<h1>${escapeHtml(title)}</h1><main>`,
    ...canvases,
    `</main>${formatHtmlTable(table)}`,
    `<script type="application/json" id="plots">${data}</script>`,
    `<script>${chartScript.replaceAll("</script", "<\\/script")}</script>`,
    `<script>${DRAW_SCRIPT}</script></body></html>`,
    "",
  ].join("\n");
}

function formatHtmlTable(rows: ReportPage["table"]): string {
  const [headers = [], ...body] = rows;
  const toRow = (cells: readonly string[], tag: string): string =>
    `<tr>${
      cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join("")
    }</tr>`;
  return [
    "<section><table>",
    toRow(headers, "th"),
    ...body.map((cells) => toRow(cells, "td")),
    "</table></section>",
  ].join("\n");
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
