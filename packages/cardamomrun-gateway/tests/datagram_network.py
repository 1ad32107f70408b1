"""A network in memory for the tests of datagrams between instances."""


class Network:
    """Carries datagrams between instances at once.

    `is_cut` loses all of them, `lost_addresses` those to some instances.
    """

    def __init__(self):
        self.handlers = {}
        self.is_cut = False
        self.lost_addresses = set()
        self.sent_count = 0

    def port(self, address):
        return _Port(self, address)


class _Port:
    def __init__(self, network, address):
        self.network, self.address = network, address

    def add_handler(self, kind, handler):
        self.network.handlers[self.address, kind] = handler

    def send(self, data, address):
        self.network.sent_count += 1
        is_lost = address in self.network.lost_addresses
        if not self.network.is_cut and not is_lost:
            self.network.handlers[address, data[:1]](data[1:], self.address)
