/** Base of the errors that this project throws; callers switch on the class or the code. */
export abstract class PewterError extends Error {
  /** Stable, for logs and callers: PEWTER_ and the cause. */
  abstract readonly code: string;
  /** Whether the same call may succeed later. */
  abstract readonly retriable: boolean;
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}
