import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import { Role } from './role.js';

/** What a node says of itself, or others say of it. `left` is its own word, `gone` is a watcher's. */
export const NodeRecord = v.strictObject({
  name: NodeName,
  role: Role,
  zone: ZoneName,
  address: Address,
  /** Where callers or operators reach the machine. */
  http: v.optional(Address),
  state: v.picklist(['here', 'gone', 'left']),
});
export type NodeRecord = v.InferOutput<typeof NodeRecord>;
