const header = '#';

/** Compares two lists of `case events digest` by position, and names the cases whose number of events or digest differs. */
export function digestDifferences(recorded: string, lines: readonly string[]): readonly string[] {
  const expected = recorded.split('\n').filter((line) => line !== '' && !line.startsWith(header));
  const length = Math.max(expected.length, lines.length);
  return Array.from({ length }, (_, index) => index).flatMap((index) => {
    const [before, now] = [expected[index], lines[index]];
    if (before === undefined) return [`differs: ${now ?? index} is not recorded`];
    if (now === undefined) return [`differs: ${before} was not run`];
    return outcomeOf(before) === outcomeOf(now) ? [] : [`differs: ${now}, recorded as ${before}`];
  });
}

/** A line without its case's name. */
function outcomeOf(line: string): string {
  return line.split(' ').slice(1).join(' ');
}
