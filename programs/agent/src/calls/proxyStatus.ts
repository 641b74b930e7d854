import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { ClockReading, InFlightByReplica } from '../sharedState/index.js';

/** What a proxy reports after each feed: what it knows now and what it has in flight. */
export const ProxyStatus = v.strictObject({
  /** Changes when the proxy restarts. */
  instance: v.string(),
  /** Configuration version in force at the proxy. */
  version: Count,
  /** Of the proxy's copy of the shared state. */
  checksum: v.number(),
  clockReading: ClockReading,
  /** Tasks in flight by replica. */
  use: InFlightByReplica,
});
export type ProxyStatus = v.InferOutput<typeof ProxyStatus>;
