/** The first value of a header in a flat list of names and values; `name` in lower case. */
export function headerOf(list: readonly string[], name: string): string | undefined {
  for (let at = 0; at + 1 < list.length; at += 2) {
    const key = list[at];
    if (key?.length === name.length && key.toLowerCase() === name) return list[at + 1];
  }
  return undefined;
}
