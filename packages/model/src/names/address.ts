import * as v from 'valibot';

/** An IP address and a port, as in 127.0.0.1:7100 or [::1]:7100. */
export const Address = v.pipe(
  v.string(),
  v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'must be an IP number and a port, as in 127.0.0.1:7100'),
  v.check((text) => Number(text.slice(text.lastIndexOf(':') + 1)) < 65536, 'port must be below 65536'),
  v.brand('Address'),
);
export type Address = v.InferOutput<typeof Address>;
