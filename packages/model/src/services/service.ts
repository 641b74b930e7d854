import * as v from 'valibot';
import { Count } from '../schema/index.js';
import { Engine } from './engine.js';

const Milliseconds = v.pipe(Count, v.maxValue(3_600_000));

/** A service: the kind of its requests, its time limits, and which replicas may register for it. */
export const Service = v.strictObject({
  /** `streamed`: responses are event streams; `whole`: one response each. */
  kind: v.picklist(['streamed', 'whole']),
  /** Whether a request may be executed more than once. */
  idempotent: v.boolean(),
  /** Which replicas may register. */
  replicas: v.strictObject({
    /** IP addresses of the hosts that may register replicas; left out: any. */
    hosts: v.optional(v.pipe(v.array(v.pipe(v.string(), v.ip('must be an IP number'))), v.minLength(1))),
    /** Most concurrent requests that a replica may claim to take. */
    maxSlots: v.pipe(Count, v.minValue(1)),
  }),
  /** Connections that a replica accepts from all proxies together; left out: any number. */
  connections: v.optional(v.pipe(Count, v.minValue(1))),
  /** Capacity of each replica's engine, where operators know it. */
  engine: v.optional(Engine),
  /** Tokens of a usual response, until measurements replace it. 200 by default. */
  outputTokens: v.optional(Count, 200),
  /** Bytes of text in a token, to estimate the tokens of a request. 4 by default. */
  bytesPerToken: v.optional(v.pipe(v.number(), v.gtValue(0)), 4),
  /** Longest time that a request waits for a free slot. Milliseconds, 2000 by default. */
  waitMs: v.optional(Milliseconds, 2000),
  /** Longest time that a request runs at a replica. Milliseconds, 30,000 by default. */
  runMs: v.optional(v.pipe(Milliseconds, v.minValue(1)), 30_000),
  /** A stream without an event for so long is aborted. Milliseconds, 10,000 by default. */
  pieceMs: v.optional(v.pipe(Milliseconds, v.minValue(1)), 10_000),
  /** HTTP statuses (400 to 599) by which a replica guarantees that it did not execute the request. None by default. */
  notRun: v.optional(v.array(v.pipe(Count, v.minValue(400), v.maxValue(599))), []),
  /** Bytes of a request's body. 1,048,576 (1 MiB) by default. */
  maxTaskBytes: v.optional(v.pipe(Count, v.minValue(1)), 1 << 20),
  /** Bytes of a response's body. 4,194,304 (4 MiB) by default. */
  maxReturnBytes: v.optional(v.pipe(Count, v.minValue(1)), 4 << 20),
  /** The operator's own document of this service, kept unchanged to be read back. */
  sourceDocument: v.optional(v.unknown()),
});
export type Service = v.InferOutput<typeof Service>;
