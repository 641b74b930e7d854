/** The known name that takes the fewest edits to reach from a mistyped one; undefined where none is near. */
export function nearestName(name: string, known: readonly string[]): string | undefined {
  const maxEdits = Math.max(2, Math.floor(name.length / 3));
  let nearest: string | undefined;
  let fewest = maxEdits + 1;
  for (const candidate of known) {
    const edits = editDistance(name, candidate);
    if (edits >= fewest) continue;
    nearest = candidate;
    fewest = edits;
  }
  return nearest;
}

/** Levenshtein distance: letters to insert, remove or replace. */
function editDistance(from: string, to: string): number {
  let previous = Array.from({ length: to.length + 1 }, (_, column) => column);
  for (const [row, letter] of [...from].entries()) {
    const current = [row + 1];
    for (const [column, other] of [...to].entries()) {
      const replaced = (previous[column] ?? 0) + (letter === other ? 0 : 1);
      const removed = (previous[column + 1] ?? 0) + 1;
      const inserted = (current[column] ?? 0) + 1;
      current.push(Math.min(replaced, removed, inserted));
    }
    previous = current;
  }
  return previous[to.length] ?? 0;
}
