/** Tables, bars and colours for a terminal. */

const BAR_CELL = "█";
const BAR_PARTS = ["", "▏", "▎", "▍", "▌", "▋", "▊", "▉"];

/** Colours of the text, as SGR codes. */
const COLOR_CODES = { red: 31, green: 32, yellow: 33, cyan: 36, bold: 1 };

/** A colour or weight of text. */
export type TextStyle = keyof typeof COLOR_CODES;

/** Puts text in a colour, or leaves it alone. */
export type ApplyStyle = (colour: TextStyle, text: string) => string;

/**
 * @param isColored - Whether the output is a terminal that shows colours.
 * @returns The function that puts text in colour.
 */
export function createApplyStyle(isColored: boolean): ApplyStyle {
  if (!isColored) return (_colour, text) => text;
  return (style, text) => `\u001b[${COLOR_CODES[style]}m${text}\u001b[0m`;
}

/**
 * Aligns cells in columns: the first one to the left, the others to the right.
 *
 * @param rows - Cells of each row, the heads first.
 * @returns One line a row.
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
 * @param fraction - Length from 0 to 1.
 * @param width - Cells of a full bar.
 * @returns A bar of block characters.
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
 * @param value - A measured value.
 * @returns The value in three or four digits.
 */
export function formatNumber(value: number): string {
  if (value >= 100 || Number.isInteger(value)) return String(Math.round(value));
  return value >= 10 ? value.toFixed(1) : value.toFixed(2);
}
