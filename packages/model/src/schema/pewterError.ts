/**
 * The base of all errors that pewterlanding throws. `code` (PEWTER_...) names the cause and stays the same between releases;
 * `retriable` says whether the same request may succeed when it is sent again.
 */
export abstract class PewterError extends Error {
  abstract readonly code: string;
  abstract readonly retriable: boolean;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}
