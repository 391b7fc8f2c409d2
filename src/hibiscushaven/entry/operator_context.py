class NodeOperatorContext:
    def __init__(self, node):
        self.node = node

    @property
    def publisher(self):
        return self.node.publisher

    def accept(self, s, row):
        self.node.documents.accept(s, row)
