/** Name and message of an error, for a log line or an error response; any other thrown value as text. */
export function errorLine(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}
