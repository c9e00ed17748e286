/** IP addresses with a port. The system resolves no host names, so an address never depends on DNS. */
import { isIP } from 'node:net';

/** An IPv4 or IPv6 address and a port. */
export type Address = { readonly host: string; readonly port: number };

/** Parses and formats addresses. IPv6 hosts are written in brackets. */
export const Address = {
  /** Parses `host:port`; undefined when the host is not an IP address or the port is out of range. */
  parse(text: string): Address | undefined {
    const separator = text.lastIndexOf(':');
    const host = text.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
    const port = text.slice(separator + 1);
    if (separator < 1 || isIP(host) === 0 || !/^\d{1,5}$/.test(port) || Number(port) > 65535)
      return undefined;
    return { host, port: Number(port) };
  },
  /** Parses an address that has already been validated. */
  checked: (text: string): Address => Address.parse(text)!,
  text: (address: Address): string =>
    isIP(address.host) === 6 ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`,
  /** The HTTP origin of the address, such as `http://10.0.0.1:7000`. */
  origin: (address: Address): string => `http://${Address.text(address)}`,
};
