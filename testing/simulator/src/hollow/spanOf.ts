/** Some durations for a reader: the least, the middle and the most; what was never reached is said so. */
export function spanOf(times: readonly (number | undefined)[]): string {
  const reached = times.flatMap((time) => time ?? []).sort((a, b) => a - b);
  const print = (time: number | undefined): string => (time === undefined ? '-' : `${Math.round(time)}`);
  const missed = times.length - reached.length;
  const unreached = missed === 0 ? '' : `, not reached in ${missed} of ${times.length}`;
  if (times.length === 1) return `${print(reached[0])} ms${unreached}`;
  return `${print(reached[0])}, ${print(reached[Math.floor(reached.length / 2)])}, ${print(reached.at(-1))} ms${unreached}`;
}
