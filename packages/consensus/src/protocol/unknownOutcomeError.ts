/** The command was written here, but whether it will count is not known. Send it again under the same id. */
export class UnknownOutcomeError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'UnknownOutcomeError';
  }
}
