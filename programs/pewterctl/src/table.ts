/** Rows as a table for people. */
export function table(head: readonly string[], rows: readonly (readonly unknown[])[]): string {
  const cells = [head, ...rows].map((row) => row.map((cell) => (cell === undefined || cell === null ? '-' : String(cell))));
  const widths = head.map((_, column) => Math.max(...cells.map((row) => row[column]?.length ?? 0)));
  return cells
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
