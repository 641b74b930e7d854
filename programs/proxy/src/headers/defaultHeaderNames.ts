import type { HeaderNames } from './headerNames.js';

/** Header names where the embedding program sets no others. */
export const defaultHeaderNames: HeaderNames = {
  task: 'task-id',
  expiryMs: 'expiry-ms',
  retryAfter: 'retry-after',
  seal: 'seal',
  notRun: 'not-run',
  instance: 'expect-life',
  resumeAfter: 'last-event-id',
  model: 'model',
  tokens: 'tokens',
  parts: 'prompt-parts',
  urgency: 'urgency',
  holdMs: 'hold-ms',
};
