/** A call that brought no return: silence, a lost circuit, a refusal, an unreadable message, or one that surely never went out. */
export class TransportError extends Error {
  constructor(
    readonly reason: 'silent' | 'lost' | 'refused' | 'unreadable' | 'unsent',
    message: string,
  ) {
    super(message);
    this.name = 'WireError';
  }
}
