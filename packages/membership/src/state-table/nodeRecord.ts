import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import { Role } from './role.js';

/** A node as the cluster knows it. `left` is announced by the node itself; `gone` by a watcher that found it to have failed. */
export const NodeRecord = v.strictObject({
  name: NodeName,
  role: Role,
  zone: ZoneName,
  address: Address,
  /** Where the node serves HTTP, for requests or for operators. */
  http: v.optional(Address),
  state: v.picklist(['here', 'gone', 'left']),
});
export type NodeRecord = v.InferOutput<typeof NodeRecord>;
