import { endToEnd } from '../headers/index.js';
import type { HeaderNames } from '../headers/index.js';

interface AttemptHeadersInput {
  readonly headerNames: HeaderNames;
  /** Flat headers of the client's request. */
  readonly received: readonly string[];
  /** Milliseconds until the request's deadline. */
  readonly remainingMs: number;
  readonly urgency: number;
  /** The replica instance that is meant, if known. */
  readonly instance: string | undefined;
  /** Id of the event after which the stream is to be resumed; undefined leaves the client's own header as it is. */
  readonly resumeAfter: number | undefined;
}

/** Flat headers of an attempt: the client's end-to-end headers, and those that the proxy sets. */
export function attemptHeaders(input: AttemptHeadersInput): string[] {
  const { headerNames, received, remainingMs, urgency, instance, resumeAfter } = input;
  const replaced = [headerNames.expiryMs, headerNames.instance, headerNames.urgency];
  if (resumeAfter !== undefined) replaced.push(headerNames.resumeAfter);
  const headers = endToEnd(received, replaced);
  headers.push(headerNames.expiryMs, String(Math.max(1, Math.floor(remainingMs))), headerNames.urgency, String(urgency));
  if (instance !== undefined) headers.push(headerNames.instance, instance);
  if (resumeAfter !== undefined) headers.push(headerNames.resumeAfter, String(resumeAfter));
  return headers;
}
