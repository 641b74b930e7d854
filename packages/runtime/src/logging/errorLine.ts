/** One line for an error of unknown kind. */
export function errorLine(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}
