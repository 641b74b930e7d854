/** An item's output as JSON: an output that is no JSON text is sent as a string, and none is left out. */
export function outputOf(result: string | undefined): unknown {
  if (result === undefined) return undefined;
  try {
    return JSON.parse(result);
  } catch {
    return result;
  }
}
