/** The first value of a header in a flat list of names and values; `name` in lower case. */
export function headerOf(list: readonly string[], name: string): string | undefined {
  for (let index = 0; index + 1 < list.length; index += 2) {
    const key = list[index];
    if (key?.length === name.length && key.toLowerCase() === name) return list[index + 1];
  }
  return undefined;
}
