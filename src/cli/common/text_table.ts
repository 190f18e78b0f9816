/** Formats tables, bars and colored text for a terminal. */

const BAR_CELL = "█";
const BAR_PARTS = ["", "▏", "▎", "▍", "▌", "▋", "▊", "▉"];

/** SGR codes of the text styles. */
const COLOR_CODES = { red: 31, green: 32, yellow: 33, cyan: 36, bold: 1 };

/** Color or weight of text. */
export type TextStyle = keyof typeof COLOR_CODES;

/** Returns text in a style, or unchanged if styles are disabled. */
export type ApplyStyle = (colour: TextStyle, text: string) => string;

/**
 * @param isColored - Whether the output is a terminal that supports colors.
 * @returns The function that applies styles.
 */
export function createApplyStyle(isColored: boolean): ApplyStyle {
  if (!isColored) return (_colour, text) => text;
  return (style, text) => `\u001b[${COLOR_CODES[style]}m${text}\u001b[0m`;
}

/**
 * Formats a table. The first column is left-aligned, all others right-aligned.
 *
 * @param rows - Cells of each row, starting with the header row.
 * @returns One line per row.
 */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return rows.map((row) =>
    row.map((cell, column) => {
      const width = widths[column] ?? 0;
      return column === 0 ? cell.padEnd(width) : cell.padStart(width);
    }).join("  ").trimEnd()
  );
}

/**
 * @param fraction - Length of the bar as a fraction from 0 to 1.
 * @param width - Width of a full bar in characters.
 * @returns The bar as block characters.
 */
export function formatBar(fraction: number, width: number): string {
  const parts = BAR_PARTS.length;
  const eighths = Math.round(
    Math.min(1, Math.max(0, fraction)) * width * parts,
  );
  return BAR_CELL.repeat(Math.floor(eighths / parts)) +
    (BAR_PARTS[eighths % parts] ?? "");
}

/**
 * Formats a number for a table.
 *
 * @param value - Number to format.
 * @returns The number, rounded to an integer from 100 on and to three digits
 * below; integers are unchanged.
 */
export function formatNumber(value: number): string {
  if (value >= 100 || Number.isInteger(value)) return String(Math.round(value));
  return value >= 10 ? value.toFixed(1) : value.toFixed(2);
}
