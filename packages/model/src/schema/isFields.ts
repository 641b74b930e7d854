/** Whether a value is an object in the sense of JSON: neither null nor an array. */
export function isFields(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
