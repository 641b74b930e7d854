import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** A hollow fleet: how many nodes, and what goes on in it. */
export const HollowOptions = v.strictObject({
  size: Count,
  controllers: Count,
  net: Count,
  heartbeatMs: Count,
  failureTimeoutMs: Count,
  /** Replicas of each front. */
  replicas: Count,
  /** How often a front tells each of its replicas anew; 0 for once. */
  announceMs: Count,
  /** Replicas at which each front has tasks under way, others each heartbeat. */
  running: Count,
  folder: v.string(),
});
export type HollowOptions = v.InferOutput<typeof HollowOptions>;
