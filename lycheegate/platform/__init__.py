"""Translation between the users' platform and the product; it takes no decisions.

Names on the wire appear only here. They are decoded into types of the product.
"""
